"""Shards: which servers and requests they get, and that hardly any ever move."""

import collections

from cassiaquay_daemon import rendezvous
from cassiaquay_daemon.configured import snapshots
from cassiaquay_schema import fleet

# Servers of one service of a grown deployment.
COUNT = 56


def _snapshot(names: list[str]) -> snapshots.Snapshot:
    servers = [fleet.Server(name=name, address="h:1", slots=7) for name in names]
    pool = fleet.Pool(adapter="engine", servers=servers)
    return snapshots.Snapshot(
        1, "", fleet.Fleet(tiers={}, services={}, pools={"chat": pool}, teams={}), {}
    )


def _shards(found: snapshots.Snapshot) -> dict[str, int]:
    placed = {}
    for number in range(found.shard_count("chat")):
        for server in found.shard_servers(f"chat#{number}"):
            placed[server.name] = number
    return placed


NAMES = [f"i-{number:02d}" for number in range(COUNT)]


def test_every_server_is_in_one_shard_of_about_the_same_size() -> None:
    placed = _shards(_snapshot(NAMES))
    assert sorted(placed) == NAMES
    sizes = collections.Counter(placed.values())
    assert len(sizes) == 4
    assert max(sizes.values()) <= 16
    assert min(sizes.values()) >= 8


def test_a_server_that_comes_and_goes_moves_hardly_any_other() -> None:
    """Callers wait at engines that got too much while one engine flapped.

    A server that changes its shard meets a keeper that does not know what runs on it.
    Dealt out in turns, half of all servers changed at each flap.
    """
    before = _shards(_snapshot(NAMES))
    for name in NAMES:
        after = _shards(_snapshot([other for other in NAMES if other != name]))
        moved = [other for other in after if after[other] != before[other]]
        assert len(moved) <= 4


def test_a_small_pool_has_one_shard() -> None:
    found = _snapshot(NAMES[:16])
    assert found.shard_count("chat") == 1
    assert found.shard_of("chat", "key") == "chat#0"
    assert found.shard_of("chat", "other") == "chat#0"


def test_a_pool_without_servers_has_no_shard() -> None:
    found = _snapshot([])
    assert found.shard_count("chat") == 0
    assert found.shard_of("chat", "key") == "chat#0"


def test_shards_get_requests_as_they_have_servers() -> None:
    found = _snapshot(NAMES)
    sizes = collections.Counter(_shards(found).values())
    got: collections.Counter[str] = collections.Counter()
    for number in range(20_000):
        got[found.shard_of("chat", f"session {number}")] += 1
    for number, size in sizes.items():
        share = got[f"chat#{number}"] / 20_000
        assert abs(share - size / COUNT) < 0.02


def test_a_weight_that_grows_takes_from_others_only() -> None:
    keys = [f"key {number}" for number in range(2000)]
    small = {"a": 1.0, "b": 1.0}
    large = {"a": 1.0, "b": 2.0}
    for key in keys:
        if rendezvous.weighted(key, small) == "b":
            assert rendezvous.weighted(key, large) == "b"
