"""Operators' commands with instances that respond, do not, or respond wrongly."""

import asyncio
import json
import os
import pathlib
import re
import subprocess
import sys
import typing
from xml.etree import ElementTree

import aiohttp
import capacity_fakes
import operators_fakes as fakes
import policy_fakes
import pytest
from starlette import applications, responses, routing

from cassiaquay_cli import (
    burn,
    burn_page,
    burn_sums,
    clients,
    commands,
    drain,
    exceptions,
    explain,
    history,
    status,
    top,
)
from cassiaquay_daemon import clock, platform
from cassiaquay_daemon import exceptions as daemon_exceptions
from cassiaquay_dev.standins import serving
from cassiaquay_schema import bodies

Test = typing.Callable[[fakes.Instance, clients.Client], typing.Awaitable[None]]
DEAD_ADDRESS = "127.0.0.1:9"


class _FakeServer:
    def __init__(self, application: applications.Starlette):
        self.app = application

    def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


def _run_with_client(test: Test, credential: str = "", **overrides: typing.Any) -> None:
    async def run_with_server(instance: fakes.Instance) -> None:
        served = serving.Served(_FakeServer(instance.application))
        await served.start()
        instance.membership.admin_address = served.address
        try:
            async with aiohttp.ClientSession() as http:
                client = clients.Client(served.address, http)
                client._credential = credential
                await test(instance, client)
        finally:
            await served.stop()

    fakes.run(run_with_server, **overrides)


def _cli(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "cassiaquay_cli.main", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, "CASSIAQUAY_ADMIN": "", **environment},
    )


def test_status_shows_serving_and_silent_instances() -> None:
    async def test(instance: fakes.Instance, client: clients.Client) -> None:
        instance.membership.listed["cq-9"] = platform.ListedInstance(
            "cq-9", "derby", "entry", "h:1", "p:1", False
        )
        fleet = await status.collect(client)
        table = status.instance_table(fleet).splitlines()
        assert "cq-1" in table[1]
        assert "serving" in table[1]
        assert "silent" in table[2]
        assert [item.instance for item in fleet.statuses.missing] == ["cq-9"]
        assert status.configuration_line(fleet).endswith("revision 1 everywhere")
        assert status.queue_table(fleet.waiting) == "nothing waits"
        assert not status.shedding_lines(fleet)
        shard = instance.kept._shard("engines#0")
        assert shard is not None
        shard.cutoffs.raise_floor(2, clock.now() + 60.0, 1000)
        fleet = await status.collect(client)
        assert status.shedding_lines(fleet) == [
            "engines#0 sheds tier standard and holds lower ones back"
        ]

    _run_with_client(test)


def test_status_shows_class_slowness_and_callers_of_each_instance() -> None:
    """Guards against operators who don't see why an instance has no callers."""

    async def test(instance: fakes.Instance, client: clients.Client) -> None:
        instance.membership.http_address = "cq-1:80"
        slow = capacity_fakes.member(2, capacity_fakes.SMALL, slow=True)
        instance.membership.learn(slow)
        instance.membership.learn(capacity_fakes.member(3, capacity_fakes.SMALL))
        fleet = await status.collect(client)
        rows = status.instance_table(fleet).splitlines()
        assert rows[0].split()[-2:] == ["class", "callers"]
        # Each answer lists both fast ones: callers need a second address.
        assert [row.split()[-2:] for row in rows[1:]] == [
            ["best", "50.0%"],
            ["slow", "0.0%"],
            ["other", "50.0%"],
        ]

    _run_with_client(
        test,
        membership={"placement": "capacity"},
        capacity={"processor_share": 0.717, "link_mbps": 100},
    )


def test_history_merges_events_and_shows_refusals() -> None:
    async def test(instance: fakes.Instance, client: clients.Client) -> None:
        entry = instance.entry("feedback")
        refusal = daemon_exceptions.Shed("engines are full")
        instance.owned._refuse(entry, refusal)
        instances = await client.instances()
        found = await client.collect("/v1/history", list[bodies.Event], instances)
        lines = history.merge(found, 50, False)
        assert "code=shed_overload" in history.format_text(lines[-1])
        assert "message=engines are full" in history.format_text(lines[-1])
        assert not history.merge(found, 50, True)

    _run_with_client(test)


def test_explain_prints_tier_keeper_and_server() -> None:
    async def test(instance: fakes.Instance, client: clients.Client) -> None:
        instance.kept._shard("engines#0")
        path = "/v1/explain?service=tutor-assist&team=feedback"
        text = explain.format_text(await client.get(path, bodies.Explanation))
        assert "tier urgent (rank 0)" in text
        assert "kept by cq-1" in text
        assert "backend server: tutor-1" in text

    _run_with_client(test)


def test_drain_refuses_the_last_instance_without_force() -> None:
    async def test(instance: fakes.Instance, client: clients.Client) -> None:
        instances = await client.instances()
        with pytest.raises(exceptions.LastInstance):
            drain.find_instance(instances, "cq-1", False)
        with pytest.raises(exceptions.UnknownInstance, match="live: cq-1"):
            drain.find_instance(instances, "cq-7", False)
        chosen = drain.find_instance(instances, "cq-1", True)
        await client.post("/v1/drain", chosen["admin"])
        assert instance.drained
        with pytest.raises(exceptions.DrainTimeout):
            await drain.wait_until_gone(client, client.at, 0.1)
        await drain.wait_until_gone(client, DEAD_ADDRESS, 5.0)

    _run_with_client(test)


def test_team_credential_reads_only_its_own_data() -> None:
    async def test(instance: fakes.Instance, client: clients.Client) -> None:
        instances = await client.instances()
        found = await client.collect("/v1/history", list[bodies.Event], instances)
        assert list(found.answers) == ["cq-1"]
        with pytest.raises(exceptions.NotAllowed, match="CASSIAQUAY_CREDENTIAL"):
            await client.get("/v1/status", bodies.Status)
        output = await status.team_output(client)
        assert "cq-1" in output.text
        assert "nothing waits" in output.text

    credential = fakes.DEPLOYMENT.teams[0].credential
    _run_with_client(test, credential, operators=[fakes.digest(fakes.OPERATOR)])


async def _burn_report(client: clients.Client) -> burn_sums.Report:
    instances = await client.instances()
    found = await client.collect("/v1/burn", bodies.Burn, instances)
    return burn_sums.report(found)


def test_burn_sums_counts_and_lists_missing_instances(tmp_path: pathlib.Path) -> None:
    async def test(instance: fakes.Instance, client: clients.Client) -> None:
        instance.membership.listed["cq-9"] = platform.ListedInstance(
            "cq-9", "derby", "entry", "h:1", "p:1", False
        )
        for number in range(burn_sums.MIN_BAD_REQUESTS):
            report = await _burn_report(client)
            assert report["objectives"][0]["verdict"] in ("no data", "ok")
            entry = instance.entry("feedback", unique=f"u{number}")
            instance.owned._refuse(entry, daemon_exceptions.Shed())
        report = await _burn_report(client)
        urgent = report["objectives"][0]
        assert urgent["verdict"] == "page"
        assert urgent["budget_left"] == pytest.approx(1 - 1 / 0.01)
        assert [item["name"] for item in urgent["burners"]] == ["feedback", "(none)"]
        assert report["objectives"][1]["verdict"] == "no data"
        assert burn_sums.is_burning(report)
        text = burn.format_text(report)
        assert "cq-9 gave no answer" in text
        assert "cq-1 counts since" in text
        assert report["coverage"]["3d"] < 0.5
        page = burn_page.render(report)
        drawn = re.findall(r"<svg.*?</svg>", page, re.S)
        assert len(drawn) == 2 * len(report["objectives"])
        bars = [len(ElementTree.fromstring(text).findall("rect")) for text in drawn]
        assert bars[:3] == [1, 1, 0]
        assert "cq-9 gave no answer" in page
        assert "http://" not in page.replace("http://www.w3.org", "")

    # With a running clock the refusals may fall into two buckets.
    with policy_fakes.Time().used():
        _run_with_client(test)


def _burn_body(
    instance: str, total: int, good: int, counted: float = 259200.0
) -> bodies.Burn:
    objective = bodies.Objective(service="s", tier="t", share=0.9, within_ms=1000)
    windows = []
    for name, seconds in (("5m", 300), ("1h", 3600), ("6h", 21600), ("3d", 259200)):
        count = bodies.Count(
            service="s", tier="t", axis="all", name="", total=total, good=good
        )
        windows.append(
            bodies.Window(
                name=name,
                seconds=float(seconds),
                counted_seconds=min(counted, float(seconds)),
                counts=[count],
            )
        )
    report = bodies.BurnReport(windows=windows, fast=[], slow=[], excluded=0)
    return bodies.Burn(
        instance=instance,
        incarnation="i",
        since=0.0,
        revision=1,
        objectives=[objective],
        report=report,
    )


def test_burn_rates_and_budget_are_computed_from_summed_counts() -> None:
    answers = {"a": _burn_body("a", 90, 90), "b": _burn_body("b", 10, 5, 3600.0)}
    missing = [clients.Missing("c", "gone"), clients.Missing("d", "gone")]
    report = burn_sums.report(clients.Collected(answers, missing))
    found = report["objectives"][0]
    assert [window["rate"] for window in found["windows"]] == pytest.approx([0.5] * 4)
    assert found["budget_left"] == pytest.approx(0.5)
    assert found["verdict"] == "ok"
    assert [item["instance"] for item in report["young"]] == ["b"]
    assert report["coverage"]["1h"] == pytest.approx(0.5)
    assert report["coverage"]["3d"] == pytest.approx((1 + 3600 / 259200) / 4)


def test_client_selects_the_first_address_that_responds() -> None:
    async def test(instance: fakes.Instance, client: clients.Client) -> None:
        client.addresses = [DEAD_ADDRESS, *client.addresses]
        client.at = DEAD_ADDRESS
        await client.select_address()
        assert [item["instance"] for item in await client.instances()] == ["cq-1"]
        client.addresses = [DEAD_ADDRESS]
        with pytest.raises(exceptions.NoResponse, match=DEAD_ADDRESS):
            await client.select_address()

    _run_with_client(test)


def test_top_shows_no_rate_after_an_instance_restarts() -> None:
    def body(incarnation: str, completed: int) -> bodies.Status:
        return bodies.Status(
            instance="a",
            incarnation=incarnation,
            domain="d",
            since=0.0,
            leaving=False,
            revision=1,
            rejected={},
            members=[],
            open=0,
            ended={"completed": completed},
            shards={},
        )

    before, now = {"a": body("one", 5)}, {"a": body("one", 9)}
    assert top.outcome_rates(before, now, 2.0)["completed"] == 2.0
    assert top.outcome_rates(before, {"a": body("two", 9)}, 2.0)["completed"] == 0.0


def test_reports_an_address_that_is_not_the_operators() -> None:
    async def run_with_server() -> None:
        async def page(request: object) -> responses.Response:
            return responses.PlainTextResponse("not here", 404)

        other = applications.Starlette(routes=[routing.Route("/{path:path}", page)])
        served = serving.Served(_FakeServer(other))
        await served.start()
        try:
            async with aiohttp.ClientSession() as http:
                with pytest.raises(
                    exceptions.NotOperatorsAddress, match="callers' address"
                ):
                    await clients.Client(served.address, http).instances()
        finally:
            await served.stop()

    asyncio.run(run_with_server())


def test_exit_codes(tmp_path: pathlib.Path) -> None:
    good = tmp_path / "good.toml"
    good.write_text(fakes.TEXT)
    bad = tmp_path / "bad.toml"
    bad.write_text(fakes.TEXT.replace("rank = 1", "rank = 0", 1))
    accepted = _cli("check", str(good), "--json")
    assert accepted.returncode == 0
    assert json.loads(accepted.stdout)["tiers"] == 4
    refused = _cli("check", str(bad))
    assert refused.returncode == 2
    assert "text_duplicate: tiers.interactive.rank" in refused.stderr
    assert _cli("check", str(tmp_path / "none.toml")).returncode == 3
    no_daemon = _cli("status", f"--at={DEAD_ADDRESS}")
    assert no_daemon.returncode == 4
    assert "no daemon answers" in no_daemon.stderr
    assert len(no_daemon.stderr.splitlines()) == 1
    without_address = _cli("burn")
    assert without_address.returncode == 4
    assert "CASSIAQUAY_ADMIN" in without_address.stderr


def test_every_command_is_documented() -> None:
    for name in commands.commands.names():
        assert commands.commands.get(name).__doc__
    assert set(commands.commands.names()) >= {"status", "burn", "drain", "top"}
