"""Random fault schedules against the gateway's guarantees, and mutation tests of them.

Engines cut, delay, decline and corrupt answers at random while callers send requests,
disconnect and retry. The records of callers and engines must satisfy the checks; with
one safeguard of the gateway disabled, the same checks must report a violation.
"""

import asyncio
import random
import sys

import aiohttp
import gateway_fakes as fakes
import pytest

from cassiaquay_daemon import bounded_http
from cassiaquay_daemon.gateway import forwarding, passing, serving
from cassiaquay_daemon.keepers import quotas
from cassiaquay_daemon.platform import headers
from cassiaquay_dev.soak import callers, checks, engines, records, silence_checks
from cassiaquay_dev.soak import site as soak_site
from cassiaquay_dev.standins import platform_standins as standins

# Imported because it registers a check.
CHECKS = (silence_checks,)
SEEDS = (1, 2)
RATE = 200.0
SECONDS = 1.0
DEADLINE_SECONDS = 1.5
# Quota of the small team in tokens per second; admits only a few of its requests.
SMALL_RATE = 60.0
FAULTY_SHARE = 0.5
MAX_SCHEDULES = 6


class Site(fakes.Site):
    """Daemons in this process with engines that inject faults at random."""

    def __init__(self, seen: records.Records, chance: random.Random):
        super().__init__()
        self.engines = []
        for number, service in enumerate(("plain", "chat", "plain", "chat")):
            engine = engines.Engine(f"i-{number}", service, seen, chance)
            engine.faulty_share = FAULTY_SHARE
            self.engines.append(engine)

    def register(self, engine: engines.Engine, **more: object) -> None:
        """Register an engine."""
        entry = {
            "service": engine.service,
            "addr": engine.address,
            "zone": "a",
            "slots": engines.SLOTS,
            "state": "ready",
            "born": engine.born,
        }
        self.store.put(f"servers/{engine.name}", entry | more)


@pytest.fixture(autouse=True)
def _short_deadlines(monkeypatch) -> None:
    monkeypatch.setattr(callers, "DEADLINE_SECONDS", DEADLINE_SECONDS)
    monkeypatch.setattr(soak_site, "SMALL_RATE", SMALL_RATE)
    monkeypatch.setattr(soak_site, "SMALL_BURST", 0.0)
    monkeypatch.setattr(soak_site, "SLACK", 0.0)


@pytest.fixture(autouse=True)
def _more_faults(monkeypatch) -> None:
    more = (engines.STALE, engines.MID_HEAD)
    monkeypatch.setattr(engines, "FAULTS", engines.FAULTS + more)


def _document() -> dict:
    teams = [
        {"name": "blue", "api-keys": ["key-a"]},
        {
            "name": "small",
            "api-keys": ["key-c"],
            "unit": "tokens",
            "rate-per-s": SMALL_RATE,
            "burst": 0.0,
            "plain-tokens": soak_site.PLAIN_TOKENS,
        },
    ]
    return standins.configuration(2, tenants=teams)


def _violated_checks(seed: int) -> set[str]:
    """Run a schedule; return the names of the checks that found a violation."""
    seen = records.Records()
    chance = random.Random(seed)

    async def work() -> None:
        site = Site(seen, chance)
        await site.start(2)
        try:
            site.store.put("op/config", _document())
            for made in site.daemons:
                while made._configuration.current.routes.version != 2:
                    await asyncio.sleep(0.02)
            seen.changes.append(
                records.Change(
                    records.now(),
                    frozenset({"key-a", "key-c"}),
                    {path: _service(kind) for kind, path in callers.PATHS.items()},
                )
            )
            await _send_requests(site, seen, chance)
        finally:
            await site.stop()

    asyncio.run(work())
    return {finding.check for finding in checks.run(seen, timed=False)}


async def _send_requests(
    site: Site, seen: records.Records, chance: random.Random
) -> None:
    fronts = []
    for found in site.settings:
        gateway = found.gateway
        front = callers.Front(
            found.instance, gateway.front, gateway.front, gateway.directory
        )
        fronts.append(front)
    asking = callers.Callers(fronts, lambda name: 1, seen, chance)
    asking.keys = ["key-a", "key-a", "key-c"]
    ended = asyncio.Event()
    asyncio.get_running_loop().call_later(SECONDS, ended.set)
    await asking.run(RATE, ended)


def _service(kind: str) -> str:
    return "chat" if kind in ("stream", "string") else "plain"


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_random_engine_faults(seed: int) -> None:
    assert not _violated_checks(seed)


def _forget_dispatches(monkeypatch) -> None:
    """Do not record that a request was sent."""
    mark_dispatched = serving.RequestHandler._mark_dispatched

    def mark_and_forget(self, state, ticket) -> None:
        mark_dispatched(self, state, ticket)
        state.runs = 0

    monkeypatch.setattr(serving.RequestHandler, "_mark_dispatched", mark_and_forget)
    monkeypatch.setattr(engines, "FAULTS", ("reset", "silent"))


def _repeat_every_request(monkeypatch) -> None:
    """Retry every request whose answer was cut, idempotent or not."""
    monkeypatch.setattr(
        serving.RequestHandler, "_check_repeat", lambda self, state, error: None
    )
    monkeypatch.setattr(engines, "FAULTS", ("reset", "truncate"))


def _accept_truncated(monkeypatch) -> None:
    """Accept a truncated answer as complete."""

    async def read_truncated_part(answer, max_bytes: int = -1) -> bytes:
        try:
            return await answer.response.content.read(max_bytes)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return b""

    monkeypatch.setattr(forwarding, "read_part", read_truncated_part)
    monkeypatch.setattr(engines, "FAULTS", ("truncate",))


def _accept_any_event_order(monkeypatch) -> None:
    """Accept events of a server that restarts a stream instead of resuming it."""
    monkeypatch.setattr(passing, "_check_event_order", lambda *found: None)
    monkeypatch.setattr(engines, "FAULTS", ("truncate", "anew"))
    monkeypatch.setattr(sys.modules[__name__], "FAULTY_SHARE", 0.9)


def _accept_any_answer(monkeypatch) -> None:
    """Accept any answer on a connection without checking its attempt id."""
    monkeypatch.setattr(headers, "answered_attempts", lambda answer_headers: set())
    monkeypatch.setattr(headers, "may_answer", lambda *answer: True)
    # Those that come while no answer is awaited end their connections.
    monkeypatch.setattr(engines, "FAULTS", (engines.STALE,))


def _accept_heads_cut_off(monkeypatch) -> None:
    """Take the part of a head that came before a connection ended for a whole one."""
    connection_lost = bounded_http.BoundedHandler.connection_lost

    def complete(self, error) -> None:
        message = self._parser and self._payload is None and self._parser.feed_eof()
        if message:
            self.feed_data((message, aiohttp.EMPTY_PAYLOAD))
            self.feed_eof()
            self._parser = None
        connection_lost(self, error)

    monkeypatch.setattr(bounded_http.BoundedHandler, "connection_lost", complete)
    monkeypatch.setattr(engines, "FAULTS", (engines.MID_HEAD,))
    monkeypatch.setattr(sys.modules[__name__], "FAULTY_SHARE", 0.9)


def _forward_forged_team(monkeypatch) -> None:
    """Forward the team header that a caller sends."""
    reserved = headers._RESERVED - {b"cassiaquay-tenant"}
    monkeypatch.setattr(headers, "_RESERVED", reserved)
    monkeypatch.setattr(headers, "TEAM", "Other-Header")


def _ignore_team_limits(monkeypatch) -> None:
    """Do not enforce the limits of teams."""

    async def take(self, team, facts, patience=0.0) -> None:
        return None

    monkeypatch.setattr(quotas.Quotas, "take", take)


MUTANTS = [
    (_forget_dispatches, "refused"),
    (_repeat_every_request, "twice"),
    (_accept_truncated, "mixed"),
    (_accept_any_event_order, "order"),
    (_accept_any_answer, "mixed"),
    (_accept_heads_cut_off, "mixed"),
    (_accept_heads_cut_off, "refused"),
    (_forward_forged_team, "unasked"),
    (_ignore_team_limits, "quota"),
]


@pytest.mark.parametrize(("mutate", "check"), MUTANTS)
def test_checks_detect_gateway_without_a_safeguard(
    mutate, check: str, monkeypatch
) -> None:
    mutate(monkeypatch)
    # On a busy machine few requests reach the disabled safeguard in one schedule.
    found: set[str] = set()
    for seed in range(MAX_SCHEDULES):
        found |= _violated_checks(seed)
        if check in found:
            break
    assert check in found
