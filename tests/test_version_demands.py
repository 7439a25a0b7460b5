"""New streams begin at the version of their demand while it can be used."""

import asyncio
import types

import gateway_fakes as fakes
import msgspec
import objectives_fakes
import policy_fakes
import pytest
import version_fakes

from cassiaquay_daemon.decisions import shards, tiered
from cassiaquay_daemon.gateway import admission
from cassiaquay_schema import fleet

STREAMS = 12


@pytest.fixture(name="time")
def _time():
    with policy_fakes.Time().used() as time:
        yield time


def _set_versions(shard: shards.Shard, **versions: str) -> None:
    for name, version in versions.items():
        server = shard.servers[name]
        shard.servers[name] = msgspec.structs.replace(server, software=version)


def test_overload_of_a_version_sends_no_new_stream_elsewhere(time) -> None:
    """Guards against streams that begin where their ids don't tell."""
    bench = objectives_fakes.Bench(time, {"a": 1, "b": 4})
    _set_versions(bench.shard, a="v1", b="v2")
    for _ in range(3):
        bench.demand(begins_at="v1")
    bench.serve()
    assert list(bench.owner.permits().values()) == ["a"]


def test_version_that_had_the_request_is_not_left(time) -> None:
    """Guards against second tries at another version while the first server lives."""
    bench = objectives_fakes.Bench(time, {"a": 1, "b": 4})
    _set_versions(bench.shard, a="v1", b="v2")
    bench.demand(begins_at="v1", tried=["a"])
    bench.serve()
    assert not bench.owner.permits()


@pytest.mark.parametrize("cause", ["unreachable", "closed", "none"])
@pytest.mark.parametrize("has_others", [False, True])
def test_new_stream_leaves_a_version_without_a_usable_server(
    time, cause: str, has_others: bool
) -> None:
    """Guards against refusals for a version that only exists in the list.

    Servers of it in other shards can still be used.
    """
    bench = objectives_fakes.Bench(time, {"a": 1, "b": 4})
    _set_versions(bench.shard, a="v1", b="v2")
    if cause == "unreachable":
        bench.shard.exclusions.report("a", "cq-1", "x")
    elif cause == "closed":
        bench.shard.closed_servers = {"a"}
    else:
        _set_versions(bench.shard, a="v2")
    name = bench.demand(begins_at="v1", has_others=has_others)
    bench.serve()
    assert (name in bench.owner.permits()) == (not has_others)


def test_new_stream_of_a_version_keeps_its_turn(time) -> None:
    """Guards against new streams that go before others as resumed ones do."""
    bench = objectives_fakes.Bench(time, {"a": 1})
    _set_versions(bench.shard, a="v1")
    first = bench.demand()
    bench.demand(begins_at="v1")
    bench.serve()
    assert list(bench.owner.permits()) == [first]


@pytest.mark.parametrize("name", [tiered.NAME, "round-robin", "first-come-local"])
def test_each_policy_keeps_new_streams_at_their_version(time, name: str) -> None:
    """Guards against a policy that knows resumed streams only."""
    shard = policy_fakes.shard({"a": 8, "b": 8})
    _set_versions(shard, a="v1", b="v2")
    policy = policy_fakes.policy(shard, name)
    owner = policy_fakes.Owner()
    for number in range(4):
        demand = policy_fakes.demand(f"d{number}")._replace(begins_at="v2")
        shard.add(demand, owner)
    policy.serve()
    assert set(owner.permits().values()) == {"b"}


def test_new_streams_begin_elsewhere_while_their_version_is_unreachable() -> None:
    """Guards against refusing the share of new streams that a dead server would get.

    The only server of a version is listed, and refuses connections.
    """

    async def work(site: fakes.Site) -> None:
        versioned = version_fakes.VersionedSite(site, {"i-1": "v1", "i-2": "v2"})
        await versioned.start()
        await site.engines[1].stop()
        streams = [version_fakes.Stream(versioned, f"s{n}") for n in range(STREAMS)]
        await asyncio.gather(*(s.ask(n % 3) for n, s in enumerate(streams)))
        assert [stream.statuses for stream in streams] == [[200]] * STREAMS
        assert all(stream.versions == {b"v1"} for stream in streams)

    fakes.run(work, 3)


def test_new_streams_begin_at_the_version_that_their_ids_give() -> None:
    """Guards against demands that do not say at which version a stream begins."""

    async def work(site: fakes.Site) -> None:
        versions = {"i-1": "v1", "i-2": "v2", "i-3": "v2"}
        versioned = version_fakes.VersionedSite(site, versions)
        await versioned.start()
        found = []
        for shift in range(2):
            streams = [version_fakes.Stream(versioned, f"s{n}") for n in range(STREAMS)]
            asking = [s.ask((n + shift) % 3) for n, s in enumerate(streams)]
            await asyncio.gather(*asking)
            found.append([stream.versions for stream in streams])
        assert found[0] == found[1]
        assert {b"v1"} in found[0]
        assert {b"v2"} in found[0]

    fakes.run(work, 3)


@pytest.mark.parametrize(
    ("shards_of", "unreachable", "expected"),
    [
        # The usual shard has the version, though another one has more of it.
        (["a1", "b1"], [], ("chat#0", True)),
        (["a1"], [], ("chat#1", False)),
        (["a1", "b1"], ["b1"], ("chat#1", False)),
    ],
)
def test_new_stream_asks_a_shard_that_has_its_version(
    shards_of: list[str], unreachable: list[str], expected: tuple[str, bool]
) -> None:
    """Guards against a shard that takes a version for gone that others still have."""
    servers = {
        "chat#0": [_server(name) for name in shards_of],
        "chat#1": [_server("b2"), _server("b3")],
    }
    snapshot = types.SimpleNamespace(
        shard_of=lambda service, key: "chat#0",
        siblings=lambda shard: ["chat#1"],
        shard_servers=servers.__getitem__,
    )
    parsed = types.SimpleNamespace(parts=[], attempt="s-0")
    state = types.SimpleNamespace(
        snapshot=snapshot,
        call=types.SimpleNamespace(service="chat", parsed=parsed),
        begins_at="b",
        software=None,
        unreachable=unreachable,
    )
    assert admission._choose_shard(state) == expected


def _server(name: str) -> fleet.Server:
    return fleet.Server(name=name, address="h:1", software=name[0], started_ms=1)
