"""Routine work of an operator, with real daemon processes and commands."""

import asyncio
import json
import os
import pathlib
import sys
import typing

import cassiaquay
from cassiaquay_dev import cluster, deployments
from cassiaquay_dev.standins import texts

DEPLOYMENT = deployments.BRINDLEY
BOUND_SECONDS = 15.0
TOKENS = 150


async def _command(
    started: cluster.Cluster, name: str, *arguments: str
) -> tuple[int, typing.Any]:
    """Run a command that starts at one instance; return its exit code and JSON."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cassiaquay_cli.main",
        *arguments,
        "--json",
        env=os.environ | {"CASSIAQUAY_ADMIN": started.listening[name].admin},
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await asyncio.wait_for(child.communicate(), BOUND_SECONDS)
    assert child.returncode is not None
    return child.returncode, json.loads(output) if output else None


async def _wait_until(found: typing.Callable[[], typing.Awaitable[bool]]) -> None:
    end = asyncio.get_running_loop().time() + BOUND_SECONDS
    while not await found():
        assert asyncio.get_running_loop().time() < end, "condition not met in time"
        await asyncio.sleep(0.05)


def test_a_changed_tier_is_in_force_everywhere(tmp_path: pathlib.Path) -> None:
    async def run() -> None:
        started = cluster.Cluster(DEPLOYMENT, 3, tmp_path)
        try:
            await started.start()
            text = deployments.fleet_text(DEPLOYMENT, started.addresses)
            before = "[tiers.background]\nrank = 3"
            assert before in text
            await started.publish(text.replace(before, "[tiers.background]\nrank = 7"))

            async def is_in_force_everywhere() -> bool:
                code, found = await _command(started, "cq-1", "status")
                assert code == 0
                statuses = found["statuses"].values()
                return [item["revision"] for item in statuses] == [2, 2, 2]

            await _wait_until(is_in_force_everywhere)
            ranks = []
            for name in started.listening:
                code, found = await _command(
                    started,
                    name,
                    "explain",
                    "--service=tutor-assist",
                    "--team=parents",
                    "--tier=background",
                )
                assert code == 0
                assert found["placement"]["keeper"] == found["keeper"]
                ranks.append(found["rank"])
        finally:
            await started.stop()
        assert ranks == [7, 7, 7]

    asyncio.run(run())


def test_a_drain_cuts_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against a drain that cuts answers in progress off.

    The callers receive complete answers. The instance exits with 0 after its last
    request has ended, and the burn report lists it as missing.
    """

    async def run() -> None:
        started = cluster.Cluster(DEPLOYMENT, 3, tmp_path)
        team = DEPLOYMENT.teams[0]
        settings = {"credential": team.credential}
        try:
            await started.start()
            session = cassiaquay.Session(
                cassiaquay.Settings(seeds=started.seeds, **settings)
            )
            tasks = []
            for number in range(9):
                request = session.ask(
                    DEPLOYMENT.model_service, f"why {number}?", max_tokens=TOKENS
                )
                tasks.append(asyncio.create_task(request))
            busy = ""

            async def one_is_busy() -> bool:
                nonlocal busy
                for name in started.listening:
                    if (await started.status(name))["open"]:
                        busy = name
                return bool(busy)

            await _wait_until(one_is_busy)
            other = next(name for name in started.listening if name != busy)
            code, found = await _command(started, other, "drain", busy)
            assert code == 0
            assert found == {"instance": busy, "gone": True}
            answers = await asyncio.gather(*tasks)
            await session.close()

            async def is_forgotten() -> bool:
                _, status = await _command(started, other, "status")
                return busy not in status["statuses"]

            await _wait_until(is_forgotten)
            code, report = await _command(started, other, "burn")
            assert report["instances"] == 2
            assert [item["instance"] for item in report["missing"]] == [busy]
        finally:
            codes = await started.stop()
        for answer in answers:
            key = f"{answer.request_id}~{team.name}"
            assert answer.text == texts.expected_answer(key, TOKENS)
        assert set(codes.values()) == {0}

    asyncio.run(run())
