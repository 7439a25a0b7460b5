"""The fault soak: each check finds what it is for, and a short seed is clean."""

import asyncio
import random

import pytest

from cassiaquay_dev import gateway_demo
from cassiaquay_dev.network import proxies
from cassiaquay_dev.soak import checks, engines, exchange, main, records, site
from cassiaquay_dev.standins import raw_servers

START = 1000.0
PATHS = {"safe": "/safe/", "book": "/book/", "stream": "/stream/"}
SERVICES = {"/safe/": "plain", "/book/": "plain", "/stream/": "chat"}
# Faults that need nothing to be in time: what is checked after them is safety alone.
SHORT = site.SoakSettings(seed=7, daemons=3, engines=4, rate=30.0, seconds=5.0)


def _attempt(seen: records.Records, kind: str, **fields: object) -> records.Attempt:
    name = f"c{len(seen.attempts)}"
    made = records.Attempt(name, kind, f"{PATHS[kind]}{name}", "key-a", b"b")
    made.daemon = "cq-1"
    made.sent_at = START
    made.ended_at = START + 0.1
    made.deadline = START + 4.0
    for field, value in fields.items():
        setattr(made, field, value)
    seen.attempts[name] = made
    return made


def _run(
    seen: records.Records, attempt: records.Attempt, engine: str = "i-1", **fields
) -> records.Run:
    headers = {
        "cassiaquay-attempt-id": attempt.name,
        "cassiaquay-tenant": "blue",
        "cassiaquay-deadline-ms": "3900",
    }
    request = raw_servers.Request("POST", attempt.path, headers, attempt.body)
    made = records.Run(engine, SERVICES[PATHS[attempt.kind]], request)
    made.at = START + 0.05
    made.executed = True
    made.status = 200
    made.seal = f"{attempt.name}.{len(seen.runs)}"
    for field, value in fields.items():
        setattr(made, field, value)
    seen.runs.append(made)
    return made


def _served(
    seen: records.Records, kind: str, **fields: object
) -> tuple[records.Attempt, records.Run]:
    """Add a request that went well; ``fields`` spoil the attempt."""
    attempt = _attempt(seen, kind, status=200, complete=True)
    run = _run(seen, attempt)
    attempt.headers["cassiaquay-response-seal"] = run.seal
    if kind == "stream":
        events = [engines.event_of(attempt.name, n) for n in range(engines.EVENTS)]
        attempt.answer = b"".join(events)
    else:
        attempt.answer = engines.body_of(run.seal)
    for field, value in fields.items():
        setattr(attempt, field, value)
    return attempt, run


def _records() -> records.Records:
    seen = records.Records()
    keys = frozenset({"key-a", "key-c"})
    seen.changes.append(records.Change(START - 100.0, keys, dict(SERVICES)))
    return seen


def _found(seen: records.Records) -> set[str]:
    return {finding.check for finding in checks.run(seen, timed=True)}


def test_a_good_day_has_no_findings() -> None:
    seen = _records()
    for kind in PATHS:
        for _ in range(10):
            _served(seen, kind)
    _attempt(seen, "book", status=503)
    seen.calm_from = START - 50.0
    assert not _found(seen)


def _twice(seen: records.Records) -> None:
    attempt, _ = _served(seen, "book")
    _run(seen, attempt, "i-2")


def _refused(seen: records.Records) -> None:
    _run(seen, _attempt(seen, "book", status=503))


def _smuggled(seen: records.Records) -> None:
    attempt, _ = _served(seen, "safe")
    del seen.attempts[attempt.name]


def _changed(seen: records.Records) -> None:
    attempt, _ = _served(seen, "safe")
    attempt.path += "?more"


def _other_team(seen: records.Records) -> None:
    _, run = _served(seen, "safe")
    run.request.headers["cassiaquay-tenant"] = "green"


def _other_body(seen: records.Records) -> None:
    _served(seen, "safe", answer=b"something")


def _other_seal(seen: records.Records) -> None:
    attempt, _ = _served(seen, "safe")
    attempt.headers["cassiaquay-response-seal"] = "c9.9"


def _cut_but_complete(seen: records.Records) -> None:
    attempt, _ = _served(seen, "stream")
    attempt.answer = attempt.answer[:-5]


def _event_twice(seen: records.Records) -> None:
    attempt, _ = _served(seen, "stream", complete=False)
    attempt.answer = engines.event_of(attempt.name, 0) * 2


def _three_engines(seen: records.Records) -> None:
    attempt, _ = _served(seen, "safe")
    _run(seen, attempt, "i-2")
    _run(seen, attempt, "i-3")


def _many_repeats(seen: records.Records) -> None:
    for _ in range(int(site.RETRY_EXTRA * 2)):
        attempt, _ = _served(seen, "safe")
        _run(seen, attempt, "i-2")


def _much_for_the_small(seen: records.Records) -> None:
    for _ in range(10):
        _, run = _served(seen, "safe", key="key-c")
        run.request.headers["cassiaquay-tenant"] = "small"
        run.request.headers["cassiaquay-token-counts"] = "1000,10"


def _own_end(seen: records.Records) -> None:
    seen.own_ends.append("cq-1")


def _key_that_never_held(seen: records.Records) -> None:
    _, run = _served(seen, "safe", key="key-b")
    run.request.headers["cassiaquay-tenant"] = "green"


def _denied(seen: records.Records) -> None:
    _attempt(seen, "safe", status=401)


def _late_change(seen: records.Records) -> None:
    seen.changes.append(records.Change(START - 20.0, frozenset(), dict(SERVICES)))
    _served(seen, "safe")


def _back(seen: records.Records) -> None:
    seen.changes.append(records.Change(START, frozenset(), dict(SERVICES)))
    _attempt(seen, "safe", status=401, sent_at=START + 0.1, ended_at=START + 0.2)
    _served(seen, "safe", sent_at=START + 0.6, ended_at=START + 0.7)


def _drained(seen: records.Records) -> None:
    seen.leaving["i-1"] = START - 5.0
    _served(seen, "safe")


def _dropped(seen: records.Records) -> None:
    for _ in range(checks.FEW + 1):
        _run(seen, _attempt(seen, "book"))


def _too_long(seen: records.Records) -> None:
    _, run = _served(seen, "safe")
    run.request.headers["cassiaquay-deadline-ms"] = "9000"


def _after_its_caller(seen: records.Records) -> None:
    for _ in range(checks.FEW + 1):
        _run(seen, _attempt(seen, "safe", gave_up=True), at=START + 1.0)


def _never_again(seen: records.Records) -> None:
    seen.calm_from = START - 50.0
    for _ in range(10):
        _attempt(seen, "safe", status=503)


def _sent_on(seen: records.Records) -> None:
    seen.crashing.add("/stream/crashes")
    for number in range(9):
        attempt = _attempt(seen, "stream", path="/stream/crashes")
        run = _run(seen, attempt, f"i-{number}", harmed=True)
        run.at = START + 2.0 * number


@pytest.mark.parametrize(
    ("check", "spoil"),
    [
        ("twice", _twice),
        ("refused", _refused),
        ("unasked", _smuggled),
        ("unasked", _changed),
        ("unasked", _other_team),
        ("mixed", _other_body),
        ("mixed", _other_seal),
        ("mixed", _cut_but_complete),
        ("order", _event_twice),
        ("engines", _three_engines),
        ("repeats", _many_repeats),
        ("quota", _much_for_the_small),
        ("own ends", _own_end),
        ("denied", _key_that_never_held),
        ("denied", _denied),
        ("configuration", _late_change),
        ("regress", _back),
        ("draining", _drained),
        ("lost", _dropped),
        ("deadline", _too_long),
        ("gone", _after_its_caller),
        ("recovered", _never_again),
        ("crashing", _sent_on),
    ],
)
def test_a_check_finds_what_it_is_for(check: str, spoil) -> None:
    seen = _records()
    spoil(seen)
    assert check in _found(seen)


def test_a_disturbed_daemon_is_not_held_to_its_bounds() -> None:
    seen = _records()
    _late_change(seen)
    assert "configuration" in _found(seen)
    seen.faults.add("cq-1", START - 4.0)
    assert "configuration" not in _found(seen)


def test_a_proxy_holds_back_and_loses_nothing() -> None:
    """A cut of one direction holds bytes; they come, in order, when it heals."""

    async def work() -> None:
        seen = records.Records()
        engine = engines.Engine("i-1", "plain", seen, random.Random(1))
        await engine.start()
        proxy = proxies.Proxy(engine.address)
        await proxy.start()
        proxy.outward.cut()
        asked = asyncio.create_task(exchange.get(proxy.address, "/", 5.0))
        while not engine.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        assert not asked.done()
        proxy.heal()
        found = await asked
        assert found is not None and found.status == 421
        proxy.refusing = True
        assert await exchange.get(proxy.address, "/", 1.0) is None
        await proxy.stop()
        await engine.stop()

    asyncio.run(work())


def test_a_short_seed_is_safe(tmp_path) -> None:
    """Daemons are killed, paused, cut off and reloaded while callers go on.

    Whatever is late, no request may run twice, be refused and run, get another's
    answer or end a daemon.
    """
    outcome = asyncio.run(main.play(SHORT._replace(folder=str(tmp_path)), timed=False))
    assert not outcome.findings
    assert sum(outcome.faults.values()) > 0
    assert outcome.served > 0


def test_the_demonstration_of_the_gateway_keeps_its_promises(capsys) -> None:
    """A daemon is stopped as planned and started again; no caller loses anything."""
    assert gateway_demo.run(seconds=3.0, rate=20.0, daemons=2) == 0
    shown = capsys.readouterr().out
    assert "0 promises broken" in shown
    assert "book" in shown
