"""The soak's releases while one daemon is out of step find streams that are joined."""

import asyncio
import pathlib

import msgpack
import pytest

from cassiaquay_dev.soak import (
    daemons,
    engines,
    main,
    out_of_step_faults,
    peer_proxies,
    records,
    site,
    stream_checks,
)

WAY = ("store", "inward", "outward")
TESTS = pathlib.Path(__file__).parent
SHORT = site.SoakSettings(
    daemons=4, engines=6, rate=20.0, pause=0.3, recovery=0.0, only="release_out_of_step"
)


def _add(recorded: records.Records, stream: str, *versions: str) -> None:
    """Add a stream of which each try brings events of one version."""
    for number, version in enumerate(versions):
        name = stream if not number else f"{stream}-{number}"
        made = records.Attempt(name, "stream", f"/stream/{name}", "key-a", b"b")
        made.stream, made.first_event, made.daemon = stream, number, f"cq-{number}"
        made.answer = engines.event_of(name, number, version)
        recorded.attempts[name] = made


def test_each_joined_stream_is_counted() -> None:
    """Guards against a stream of two versions that the check tolerates."""
    recorded = records.Records()
    _add(recorded, "r1", "v1", "v1", "v1")
    _add(recorded, "r2", "v2", "v2")
    assert not list(stream_checks.find_mixed_versions(recorded))
    _add(recorded, "r3", "v2", "v1", "v2")
    found = ["r3 (v2 by cq-0, v1 by cq-1)"]
    assert stream_checks.joined_streams(recorded) == found
    assert len(list(stream_checks.find_mixed_versions(recorded))) == 1
    both = records.Attempt("r4", "string", "/string/r4", "key-a", b"b")
    both.answer = engines.event_of("r4", 0, "v1") + engines.event_of("r4", 1, "v2")
    recorded.attempts["r4"] = both
    assert len(stream_checks.joined_streams(recorded)) == 2


async def _answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each part of what arrives with its length."""
    while data := await reader.read(1000):
        writer.write(b"%d" % len(data))


async def _arrives(reader: asyncio.StreamReader) -> bool:
    """Return whether bytes arrive within a short time."""
    try:
        async with asyncio.timeout(0.2):
            return bool(await reader.read(1000))
    except TimeoutError:
        return False


@pytest.mark.parametrize("gates", ["sent_by", "sent_to"])
def test_peer_proxy_holds_one_direction_of_one_daemon(gates: str) -> None:
    """Guards against a cut that also holds back other daemons or loses bytes."""

    async def work() -> None:
        server = await asyncio.start_server(_answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        proxy = peer_proxies.PeerProxy(f"127.0.0.1:{port}")
        await proxy.start()
        host, _, number = proxy.address.rpartition(":")
        held = getattr(proxy, gates)["cq-2"]
        readers, writers = {}, {}
        for name in ("cq-2", "cq-3"):
            opened = await asyncio.open_connection(host, int(number))
            readers[name], writers[name] = opened
            writers[name].write(msgpack.packb([1, 1, name]))
            assert await _arrives(readers[name])
        held.cut()
        for writer in writers.values():
            writer.write(b"more")
        assert await _arrives(readers["cq-3"])
        assert not await _arrives(readers["cq-2"])
        held.heal()
        assert await _arrives(readers["cq-2"])
        await proxy.stop()
        server.close()

    asyncio.run(work())


def test_soak_finds_streams_that_a_daemon_joins(tmp_path, monkeypatch) -> None:
    """Guards against a soak that takes up no stream at a server of another version."""
    monkeypatch.setattr(daemons, "LAUNCH", "joining_daemon")
    monkeypatch.setattr(out_of_step_faults, "OBSERVED_SECONDS", 1.0)
    monkeypatch.setenv("PYTHONPATH", str(TESTS), prepend=":")
    settings = SHORT._replace(folder=str(tmp_path), seconds=3.0)
    outcome = asyncio.run(main.run_seed(settings, timed=False))
    assert {finding.check for finding in outcome.findings} == {"versions"}


def test_soak_run_with_a_daemon_out_of_step_joins_no_streams(
    tmp_path, monkeypatch
) -> None:
    """Guards against streams that an outdated list joins of two versions."""
    monkeypatch.setattr(out_of_step_faults, "WAYS", {"cut off": WAY})
    monkeypatch.setattr(out_of_step_faults, "OUT_OF_STEP_SECONDS", (2.0,))
    settings = SHORT._replace(folder=str(tmp_path), seed=80006, seconds=25.0)
    outcome = asyncio.run(main.run_seed(settings, timed=False))
    assert not outcome.findings
    assert outcome.faults["release_out_of_step"] > 0
