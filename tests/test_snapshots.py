"""Assignment of servers and requests to shards, and its stability."""

import collections

from cassiaquay_daemon import rendezvous
from cassiaquay_daemon.configured import snapshots
from cassiaquay_schema import fleet

# Servers of one service in a large deployment.
SERVER_COUNT = 56


def _snapshot(names: list[str]) -> snapshots.Snapshot:
    servers = [fleet.Server(name=name, address="h:1", slots=7) for name in names]
    pool = fleet.Pool(adapter="engine", servers=servers)
    return snapshots.Snapshot(
        1, "", fleet.Fleet(tiers={}, services={}, pools={"chat": pool}, teams={}), {}
    )


def _shards_by_server(found: snapshots.Snapshot) -> dict[str, int]:
    placed = {}
    for number in range(found.shard_count("chat")):
        for server in found.shard_servers(f"chat#{number}"):
            placed[server.name] = number
    return placed


NAMES = [f"i-{number:02d}" for number in range(SERVER_COUNT)]


def test_every_server_is_in_one_shard_and_sizes_are_similar() -> None:
    placed = _shards_by_server(_snapshot(NAMES))
    assert sorted(placed) == NAMES
    sizes = collections.Counter(placed.values())
    assert len(sizes) == 4
    assert max(sizes.values()) <= 16
    assert min(sizes.values()) >= 8


def test_removing_a_server_moves_few_others() -> None:
    """Guards against overloaded engines while one engine flaps.

    The keeper of a server's new shard does not know the requests running on it. With
    round-robin assignment half of all servers changed their shard at each flap.
    """
    before = _shards_by_server(_snapshot(NAMES))
    for name in NAMES:
        after = _shards_by_server(
            _snapshot([other for other in NAMES if other != name])
        )
        moved = [other for other in after if after[other] != before[other]]
        assert len(moved) <= 4


def test_small_pool_has_one_shard() -> None:
    found = _snapshot(NAMES[:16])
    assert found.shard_count("chat") == 1
    assert found.shard_of("chat", "key") == "chat#0"
    assert found.shard_of("chat", "other") == "chat#0"


def test_pool_without_servers_has_no_shard() -> None:
    found = _snapshot([])
    assert found.shard_count("chat") == 0
    assert found.shard_of("chat", "key") == "chat#0"


def test_shards_get_requests_in_proportion_to_their_servers() -> None:
    found = _snapshot(NAMES)
    sizes = collections.Counter(_shards_by_server(found).values())
    requests: collections.Counter[str] = collections.Counter()
    for number in range(20_000):
        requests[found.shard_of("chat", f"session {number}")] += 1
    for number, size in sizes.items():
        share = requests[f"chat#{number}"] / 20_000
        assert abs(share - size / SERVER_COUNT) < 0.02


def test_larger_weight_moves_keys_only_to_that_node() -> None:
    keys = [f"key {number}" for number in range(2000)]
    small = {"a": 1.0, "b": 1.0}
    large = {"a": 1.0, "b": 2.0}
    for key in keys:
        if rendezvous.weighted(key, small) == "b":
            assert rendezvous.weighted(key, large) == "b"
