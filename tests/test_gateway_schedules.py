"""Generated schedules against the gateway's promises, and mutants that each rejects.

Engines cut, silence, refuse and spoil answers at random while callers ask, leave and
come back. What callers and engines saw must keep the promises; a gateway with one
safeguard taken out must be found out by the same schedule.
"""

import asyncio
import random
import sys

import aiohttp
import gateway_fakes as fakes
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.gateway import forwarding, passing, serving
from cassiaquay_daemon.keepers import quotas
from cassiaquay_daemon.platform import headers
from cassiaquay_dev.soak import callers, checks, engines, records
from cassiaquay_dev.soak import site as soak_site
from cassiaquay_dev.standins import platform_standins as standins

SEEDS = (1, 2)
RATE = 200.0
SECONDS = 1.0
DEADLINE_SECONDS = 1.5
# Tokens a second of the small team: a few requests of all that it sends.
SMALL_RATE = 60.0
FAULTY_SHARE = 0.5
PLAYS = 6


class Site(fakes.Site):
    """Daemons in this process before engines that do wrong at random."""

    def __init__(self, seen: records.Records, chance: random.Random):
        super().__init__()
        self.engines = []
        for number, service in enumerate(("plain", "chat", "plain", "chat")):
            engine = engines.Engine(f"i-{number}", service, seen, chance)
            engine.faulty_share = FAULTY_SHARE
            self.engines.append(engine)

    def enlist(self, engine: engines.Engine, **more: object) -> None:
        """Register an engine."""
        entry = {
            "service": engine.service,
            "addr": engine.address,
            "zone": "a",
            "slots": engines.SLOTS,
            "state": "ready",
            "born": 1,
        }
        self.store.put(f"servers/{engine.name}", entry | more)


@pytest.fixture(autouse=True)
def _short_deadlines(monkeypatch) -> None:
    monkeypatch.setattr(callers, "DEADLINE_SECONDS", DEADLINE_SECONDS)
    monkeypatch.setattr(soak_site, "SMALL_RATE", SMALL_RATE)
    monkeypatch.setattr(soak_site, "SMALL_BURST", 0.0)
    monkeypatch.setattr(soak_site, "SLACK", 0.0)


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


def _play(seed: int) -> set[str]:
    """Play a schedule; return the names of the checks that found something."""
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
            await _ask(site, seen, chance)
        finally:
            await site.stop()

    asyncio.run(work())
    return {finding.check for finding in checks.run(seen, timed=False)}


async def _ask(site: Site, seen: records.Records, chance: random.Random) -> None:
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
def test_promises_hold_whatever_engines_do(seed: int) -> None:
    assert not _play(seed)


def _forget_dispatches(monkeypatch) -> None:
    """Forget what has been sent."""
    mark = serving.RequestHandler._mark_dispatched

    def forget(self, state, ticket) -> None:
        mark(self, state, ticket)
        state.runs = 0

    monkeypatch.setattr(serving.RequestHandler, "_mark_dispatched", forget)
    monkeypatch.setattr(engines, "FAULTS", ("reset", "silent"))


def _repeat_every_request(monkeypatch) -> None:
    """Repeat a cut answer, whatever the request may."""
    monkeypatch.setattr(
        serving.RequestHandler, "_check_repeat", lambda self, state, error: None
    )
    monkeypatch.setattr(engines, "FAULTS", ("reset", "truncate"))


def _accept_truncated(monkeypatch) -> None:
    """Take an answer that breaks off for a whole one."""

    async def read(answer):
        try:
            async for part in answer.response.content.iter_any():
                yield part
        except (TimeoutError, aiohttp.ClientError, OSError):
            return

    monkeypatch.setattr(forwarding, "stream_body", read)
    monkeypatch.setattr(engines, "FAULTS", ("truncate",))


def _accept_any_event_order(monkeypatch) -> None:
    """Let a server that begins a stream anew go on with it."""
    monkeypatch.setattr(passing, "_check_event_order", lambda state, found: None)
    monkeypatch.setattr(engines, "FAULTS", ("truncate", "anew"))
    monkeypatch.setattr(sys.modules[__name__], "FAULTY_SHARE", 0.9)


def _accept_any_answer(monkeypatch) -> None:
    """Take whatever comes on a connection for the answer to what was sent."""

    def check(self, call, response) -> forwarding.Answer:
        if headers.NOT_EXECUTED in response.headers:
            raise exceptions.Declined("not executed")
        pairs = headers.towards_caller(response.headers.items())
        return forwarding.Answer(response, response.status, pairs)

    monkeypatch.setattr(forwarding.Forwarder, "_check_answer", check)
    monkeypatch.setattr(engines, "FAULTS", ("extra",))


def _forward_forged_team(monkeypatch) -> None:
    """Pass on the team that a caller names."""
    own = headers._RESERVED - {b"cassiaquay-tenant"}
    monkeypatch.setattr(headers, "_RESERVED", own)
    monkeypatch.setattr(headers, "TEAM", "Other-Header")


def _ignore_team_limits(monkeypatch) -> None:
    """Look at no limit of teams."""

    async def take(self, team, facts, patience=0.0) -> None:
        return None

    monkeypatch.setattr(quotas.Quotas, "take", take)


MUTANTS = [
    (_forget_dispatches, "refused"),
    (_repeat_every_request, "twice"),
    (_accept_truncated, "mixed"),
    (_accept_any_event_order, "order"),
    (_accept_any_answer, "mixed"),
    (_forward_forged_team, "unasked"),
    (_ignore_team_limits, "quota"),
]


@pytest.mark.parametrize(("mutate", "check"), MUTANTS)
def test_a_gateway_without_a_safeguard_is_found_out(
    mutate, check: str, monkeypatch
) -> None:
    mutate(monkeypatch)
    # On a busy machine few requests get as far as the missing safeguard in one play.
    found: set[str] = set()
    for seed in range(PLAYS):
        found |= _play(seed)
        if check in found:
            break
    assert check in found
