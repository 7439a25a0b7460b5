"""Values at the edge of what their decoders accept."""

import asyncio
import logging

import gateway_fakes as fakes
import hypothesis
import pytest
from hypothesis import strategies

from cassiaquay_daemon.links import frames
from cassiaquay_daemon.platform import documents, headers, reports
from cassiaquay_dev.standins import platform_standins as standins
from cassiaquay_dev.standins import raw_servers
from cassiaquay_schema import messages

DEFECTS = {"task_failed", "request_crashed", "message_unsendable", "relay_crashed"}
NUMBERS = ["1e308", "1e-308", "0", str(2**64), "9" * 300, "-1", "nan", "inf", "\xff"]
NAMES = ["Server-Limit", "Server-Brittle", "Retry-After", "Keep-Alive"]
HUGE = strategies.sampled_from([2**63, 2**64, 2**128, -(2**64)])


@pytest.mark.parametrize("number", NUMBERS)
@pytest.mark.parametrize("name", NAMES)
def test_no_number_of_a_server_ends_what_it_passes_through(
    name: str, number: str, caplog
) -> None:
    """Guards against a header value that raises where it is converted or sent on."""
    value = f"timeout={number}" if name == "Keep-Alive" else number
    count = 0

    async def respond(request: raw_servers.Request, writer: raw_servers.Writer) -> None:
        nonlocal count
        count += 1
        if count % 2:
            found = standins.seal_headers(request) | {name: value}
            declined = {"Cassiaquay-Not-Executed": "1"} | found
            await raw_servers.send(writer, 503, b"", declined)
            return
        await standins.send_complete_answer(request, writer)

    async def work(site: fakes.Site) -> None:
        for engine in site.engines:
            engine.responder = respond
        for at in (0, 1, 0, 1):
            assert (await site.ask("/book/x", at=at)).status in (200, 503)

    with caplog.at_level(logging.WARNING, "cassiaquay"):
        fakes.run(work, 2)
    assert not {record.msg for record in caplog.records} & DEFECTS


@hypothesis.given(HUGE | strategies.integers())
def test_each_version_of_a_configuration_can_be_sent(version: int) -> None:
    """Guards against versions that end heartbeats."""
    number = documents.number_of(f'{{"version": {version}}}')
    assert number is not None
    frames.encode(messages.ConfigurationText(1, "", number, 0))


@hypothesis.given(strategies.binary(max_size=60), HUGE)
def test_reports_of_servers_raise_nothing(body: bytes, born: int) -> None:
    """Guards against reports that end the request for which they were asked."""
    reports.read_started_ms(body)
    reports.read_started_ms(f'{{"born": {born}}}'.encode())


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [headers.COUNTS, headers.LAST_EVENT, headers.DEADLINE, headers.PREFIX]
            ),
            strategies.binary(max_size=40) | HUGE.map(lambda item: b"%d" % item),
        ),
        max_size=4,
    )
)
def test_numbers_of_callers_can_be_sent(pairs: list[tuple[bytes, bytes]]) -> None:
    """Guards against headers of callers whose numbers no demand can carry."""
    parsed = headers.read(pairs)
    frames.encode(
        messages.Demand(
            "id",
            "shard",
            "service",
            "team",
            0,
            parsed.prompt_tokens,
            parsed.output_tokens,
            parsed.deadline_ms,
            "",
            [],
            [],
            parts=parsed.parts,
        )
    )


ROUTE_VALUES = [
    {"timeout-ms": 1e308},
    {"slo-ms": 1e308},
    {"gap-target-ms": 1e308},
    {"priority": 2**70},
    {"attempts": 2**70},
]
TEAM_VALUES = [
    {"rate-per-s": 1e308, "burst": 1e308},
    {"priority": 2**70},
    {"rate-per-s": 10.0, "burst": 10.0, "unit": "tokens", "plain-tokens": 2**70},
]


@pytest.mark.parametrize("change", ROUTE_VALUES + TEAM_VALUES)
def test_no_number_of_a_configuration_ends_what_it_passes_through(
    change: dict, caplog
) -> None:
    """Guards against a configured number that no message or timer can carry."""

    async def work(site: fakes.Site) -> None:
        document = standins.configuration(2)
        if change in ROUTE_VALUES:
            document["routes"] = [item | change for item in document["routes"]]
        else:
            document["tenants"] = [document["tenants"][0] | change]
        site.store.put("op/config", document)
        for made in site.daemons:
            while (
                made._configuration.revision != 2 and not made._configuration.rejected
            ):
                await asyncio.sleep(0.02)
        for path in ("/book/x", "/stream/x"):
            for at in (0, 1):
                assert (await site.ask(path, at=at)).status in (200, 429, 503)

    with caplog.at_level(logging.WARNING, "cassiaquay"):
        fakes.run(work, 2)
    assert not {record.msg for record in caplog.records} & DEFECTS
