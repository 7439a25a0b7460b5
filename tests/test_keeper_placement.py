"""Which instances are keepers in a fleet of several sizes, and when some are slow.

The load: 8 of 86 instances have a link of 100 Mbit/s, the others of 5 Mbit/s, most of
which a keeper fills in a burst.
"""

import random

import capacity_fakes as fakes
import pytest

from cassiaquay_daemon import rendezvous
from cassiaquay_daemon.decisions import keeper_placement
from cassiaquay_daemon.fleet import keeper_roles
from cassiaquay_daemon.links import frames
from cassiaquay_dev.sizing import light
from cassiaquay_schema import messages

SHARDS = [f"pool-{pool}#{number}" for pool in range(10) for number in range(4)]
LIMITS = [f"quota team-{number}" for number in range(200)]
LARGE_NAMES = {f"cq-{number}" for number in range(8)}


def _roles(
    members: list[messages.Member], placement: str = "capacity"
) -> keeper_roles.KeeperRoles:
    roles = keeper_roles.KeeperRoles(light.settings_of("cq-0", placement=placement))
    roles.update(members)
    return roles


def _keepers(members: list[messages.Member], keys: list[str]) -> list[str]:
    roles = _roles(members)
    return [roles.keeper_of(key) for key in keys]


def test_keepers_of_shards_are_large_instances_and_limits_are_spread() -> None:
    """No keeper of a shard has a small link; limits do not all sit at eight instances.

    Guards against keepers whose link is full in a burst.
    """
    members = fakes.fleet()
    keepers = _keepers(members, SHARDS)
    assert set(keepers) == LARGE_NAMES
    assert len(set(_keepers(members, LIMITS))) > 60


def test_shards_of_a_pool_are_kept_apart() -> None:
    """Guards against two busy shards on one core while other large instances idle."""
    roles = _roles(fakes.fleet())
    for pool in range(10):
        keepers = [roles.keeper_of(f"pool-{pool}#{number}") for number in range(4)]
        assert len(set(keepers)) == 4
    for name in ("pool-0#18", "pool-0#", "pool-0", "#", "pool-0#x"):
        assert roles.keeper_of(name) in LARGE_NAMES


@pytest.mark.parametrize("count", [1, 2, 3, 8, 9, 35, 86])
def test_keepers_of_instances_that_are_alike_stay_where_they_are(count: int) -> None:
    """The setting moves no role in a fleet of equal instances, whatever their size."""
    for capacity in ((0, 0), fakes.LARGE):
        members = [fakes.member(number, capacity) for number in range(count)]
        names = [fact.instance for fact in members]
        before = [rendezvous.first(key, names) for key in SHARDS + LIMITS]
        assert _keepers(members, SHARDS + LIMITS) == before


def test_even_placement_ignores_capacities_and_slowness() -> None:
    """Without the setting nothing depends on what other instances state."""
    members = fakes.slowed(fakes.fleet(), {"cq-1", "cq-50"})
    names = [fact.instance for fact in members]
    roles = _roles(members, "even")
    for key in SHARDS + LIMITS:
        assert roles.keeper_of(key) == rendezvous.first(key, names)


def test_a_slow_instance_loses_its_roles_and_gets_them_back() -> None:
    """Few others move, and all return.

    Guards against shards that wait for a keeper whose event loop is late.
    """
    members = fakes.fleet()
    roles = _roles(members)
    keys = SHARDS + LIMITS
    before = {key: roles.keeper_of(key) for key in keys}
    slow = {"cq-3", "cq-40", before[LIMITS[0]]}
    roles.update(fakes.slowed(members, slow))
    moved = 0
    for key in keys:
        assert roles.keeper_of(key) not in slow
        if before[key] not in slow and roles.keeper_of(key) != before[key]:
            assert key in SHARDS
            moved += 1
    assert moved <= 2
    roles.update(list(members))
    assert {key: roles.keeper_of(key) for key in keys} == before


@pytest.mark.parametrize(
    ("slow_large", "slow_small", "level"),
    [(4, 0, "best_class"), (5, 0, "not_slow"), (8, 75, "all"), (8, 78, "all")],
)
def test_each_smaller_set_gives_way_to_the_next(
    slow_large: int, slow_small: int, level: str
) -> None:
    """Roles don't gather at a few instances, and not at slow ones if others are left.

    Guards against the loss of most large instances, and against a fleet that is slow as
    a whole: none is left out then.
    """
    slow = {f"cq-{number}" for number in range(slow_large)}
    slow |= {f"cq-{8 + number}" for number in range(slow_small)}
    roles = _roles(fakes.slowed(fakes.fleet(), slow))
    assert roles.placement.level == level
    if level != "all":
        assert not slow & roles.placement.shards


def test_without_large_instances_the_next_best_class_keeps() -> None:
    """Guards against the loss of all large instances: the medium ones are next."""
    medium = [fakes.member(number, (640, 12_500)) for number in range(6)]
    small = [fakes.member(number, fakes.SMALL) for number in range(6, 30)]
    roles = _roles(medium + small)
    assert roles.placement.shards == {fact.instance for fact in medium}


def test_large_instances_of_one_domain_are_not_the_only_keepers() -> None:
    """Guards against the loss of one failure domain taking all keepers with it."""
    members = fakes.fleet(large=8, small=20)
    members = [
        fact._replace(domain="domain-0") if fact.instance in LARGE_NAMES else fact
        for fact in members
    ]
    assert _roles(members).placement.level == "not_slow"


def test_an_instance_without_stated_capacity_counts_as_the_smallest() -> None:
    """Guards against a missing value that makes an instance the best or breaks one."""
    members = [*fakes.fleet(), fakes.member(100, (0, 0)), fakes.member(101, (900, 0))]
    roles = _roles(members)
    assert roles.placement.shards == LARGE_NAMES


def test_all_choose_evenly_while_one_instance_does() -> None:
    """Guards against two keepers of every shard while the setting is rolled out."""
    members = fakes.fleet()
    old = members[20]._replace(by_capacity=False, processor_permille=0, link_kbps=0)
    names = [fact.instance for fact in members]
    members[20] = old
    roles = _roles(members)
    for key in SHARDS:
        assert roles.keeper_of(key) == rendezvous.first(key, names)


def test_a_fact_of_the_version_before_is_read_with_defaults() -> None:
    """Guards against an upgrade that cuts off the instances not yet upgraded."""
    fact = fakes.member(1, fakes.LARGE)
    old_frame = frames.msgpack.packb([messages.CODES[messages.Member], *fact[:14]])
    [decoded] = frames.Decoder().feed(old_frame)
    assert decoded == fact._replace(
        processor_permille=0, link_kbps=0, by_capacity=False
    )


def test_a_fleet_that_starts_moves_each_role_few_times() -> None:
    """Each move closes a shard for up to 0.45 s, so a start must not cause many.

    Instances start in random order; the mean over 40 orders is compared with that of
    even placement. Guards against a class that changes with every start.
    """
    chance = random.Random(7)
    counts = {"capacity": 0, "even": 0}
    for _ in range(40):
        members = fakes.fleet()
        chance.shuffle(members)
        for placement in counts:
            roles = _roles([], placement)
            last: dict[str, str] = {}
            for started in range(1, len(members) + 1):
                roles.update(members[:started])
                for key in SHARDS:
                    keeper = roles.keeper_of(key)
                    counts[placement] += last.get(key, keeper) != keeper
                    last[key] = keeper
    assert counts["capacity"] < 1.5 * counts["even"], counts


def test_best_class_of_no_members_is_empty() -> None:
    """Guards against an error before the first member is known."""
    assert keeper_placement.best_class([]) == []
