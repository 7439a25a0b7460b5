"""Membership over loopback links: discovery, suspicion, removal, address lists."""

import asyncio
import collections
import itertools

import fleets
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.fleet import facts, failure_detector
from cassiaquay_daemon.interface import addresses
from cassiaquay_daemon.links import frames
from cassiaquay_daemon.owners import tokens
from cassiaquay_dev.sizing import light
from cassiaquay_schema import messages


def test_instances_find_each_other_by_the_list_alone() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(5)
            await fleet.wait_for_members()

    asyncio.run(run())


def test_instances_find_each_other_by_a_seed_when_the_list_is_down() -> None:
    """Address lists contain all instances although none can read the instance list.

    The list is down from the start. Each instance has one seed address, through which
    it learns of all others.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            fleet.listing.down = True
            first = await fleet.add("cq-1")
            for number in range(2, 5):
                await fleet.add(f"cq-{number}", seeds=[first.peers.address])
            await fleet.wait_for_members()

    asyncio.run(run())


def test_a_killed_instance_is_removed_from_address_lists() -> None:
    """No caller is sent to a failed instance once it is suspected.

    It is killed without announcing its exit, and the list still shows it as live. The
    instances that monitor it see the connection close, probe it and suspect it.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(4)
            await fleet.wait_for_members()
            await fleet.kill("cq-4")
            await fleet.wait_for_members()
            for one in fleet.instances.values():
                answer = addresses.answer(one.settings, one.membership, "east")
                assert "cq-4" not in [a["instance"] for a in answer["addresses"]]

    asyncio.run(run())


def test_one_broken_connection_causes_no_suspicion() -> None:
    """Callers are still sent to both ends of a broken connection.

    Two of four instances cannot reach each other; the others reach both. An instance
    that misses heartbeats probes through the others first, so none is suspected.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, other, *_ = await fleet.add_many(4)
            await fleet.wait_for_members()
            light.separate(one, other)
            for _ in range(40):
                await asyncio.sleep(0.03)
                views = [instance.view for instance in fleet.instances.values()]
                assert views == [set(fleet.instances)] * 4

    asyncio.run(run())


def test_probes_reach_helpers_without_a_connection() -> None:
    """Callers are still sent to both ends of a broken connection in a larger fleet.

    Each of twelve instances has connections to a few. One misses heartbeats of another
    and probes through helpers that it must dial first.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            instances = await fleet.add_many(12, neighbours=2, suspect_after=0.6)
            await fleet.wait_for_members()
            await asyncio.sleep(1.5)
            one = instances[0]
            other = fleet.instances[next(iter(one.membership.neighbours()))]
            light.separate(one, other)
            for _ in range(60):
                await asyncio.sleep(0.03)
                views = [instance.view for instance in fleet.instances.values()]
                assert views == [set(fleet.instances)] * 12

    asyncio.run(run())


def test_a_paused_instance_is_suspected_by_all_its_neighbours() -> None:
    """Callers are no longer sent to a paused instance two periods after the timeout.

    Its connections stay open but silent. Two instances that monitor it probe through
    each other; neither may count the other's restarted timeout as a heartbeat.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, other, third = await fleet.add_many(3)
            await fleet.wait_for_members()
            third.pause()
            await light.until(lambda: one.view == {"cq-1", "cq-2"}, 3)
            await light.until(lambda: other.view == {"cq-1", "cq-2"}, 3)

    asyncio.run(run())


def test_two_sides_of_a_partition_reconnect_afterwards() -> None:
    """Callers are sent only to their side of a partition, and afterwards to all again.

    Each side suspects and forgets the other. The list is down all the time, so that
    after the partition the sides reconnect only through remembered addresses.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            a, b, c, d = await fleet.add_many(4)
            await fleet.wait_for_members()
            fleet.listing.down = True
            pairs = [(a, c), (a, d), (b, c), (b, d)]
            for one, other in pairs:
                light.separate(one, other)
            await light.until(lambda: a.view == b.view == {"cq-1", "cq-2"}, 10)
            await light.until(lambda: c.view == d.view == {"cq-3", "cq-4"}, 10)
            await light.until(lambda: len(a.membership.facts.records) == 2, 10)
            for one, other in pairs:
                light.join(one, other)
            await fleet.wait_for_members()

    asyncio.run(run())


def test_an_instance_known_only_through_others_is_suspected() -> None:
    """An isolated instance does not list a member that it never had contact with.

    It learns of that member through a third instance and is cut off from the third at
    once. No other instance can report the failure, so it must count heartbeats that
    never arrived as missing.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, other, third = await fleet.add_many(3, refresh_seconds=0.1)
            light.separate(one, other)
            await fleet.wait_for_members()
            light.separate(one, third)
            await light.until(lambda: one.view == {"cq-1"}, 10)

    asyncio.run(run())


def test_a_leaving_instance_gets_no_callers() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            *_, last = await fleet.add_many(3)
            await fleet.wait_for_members()
            last.membership.announce_leaving()
            await fleet.wait_for_members(["cq-1", "cq-2"])

    asyncio.run(run())


def test_an_instance_listed_as_leaving_gets_no_callers() -> None:
    """The platform is about to remove an instance that has no notice of it yet.

    A line with another address is of an earlier incarnation and is ignored.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            *_, last = await fleet.add_many(3)
            last.enlist(leaving=True)
            await fleet.wait_for_members(["cq-1", "cq-2"])
            line = fleet.listing.lines["cq-3"]
            fleet.listing.lines["cq-3"] = line._replace(http="10.9.9.9:80")
            await fleet.wait_for_members(["cq-1", "cq-2", "cq-3"])

    asyncio.run(run())


def test_an_unlisted_instance_serves_while_it_sends_heartbeats() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(3)
            await fleet.wait_for_members()
            del fleet.listing.lines["cq-3"]
            calls = fleet.listing.calls
            await light.until(lambda: fleet.listing.calls > calls + 9, 10)
            await fleet.wait_for_members(["cq-1", "cq-2", "cq-3"])

    asyncio.run(run())


def test_every_instance_is_monitored_with_few_neighbours() -> None:
    """With three neighbours for each of 24 instances, all learn of a killed one.

    No instance sends heartbeats to all others; the suspicion spreads by gossip.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(24, neighbours=3, period=0.1, suspect_after=0.8)
            await fleet.wait_for_members()
            watched = collections.Counter()
            for one in fleet.instances.values():
                watched.update(one.membership.neighbours().keys())
                assert len(one.membership.neighbours()) == 3
            await fleet.kill("cq-7")
            await fleet.wait_for_members()

    asyncio.run(run())


def test_heartbeats_to_former_neighbours_stop() -> None:
    """Heartbeats to former neighbours stop.

    While 24 instances start, each changes its neighbours as it discovers more of them.
    In the end it sends heartbeats only to its three neighbours and to those that chose
    it as theirs.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(24, neighbours=3, period=0.1, suspect_after=0.8)
            await fleet.wait_for_members()
            chose: dict[str, set[str]] = collections.defaultdict(set)
            for name, one in fleet.instances.items():
                for other in one.membership.neighbours():
                    chose[name].add(other)
                    chose[other].add(name)

            def has_expected_links() -> bool:
                for name, one in fleet.instances.items():
                    used = {
                        link.instance for link in one.membership._neighbours.links(0)
                    }
                    if used != chose[name]:
                        return False
                return True

            await light.until(has_expected_links, 10)

    asyncio.run(run())


def test_neighbour_ranks_connect_all_instances() -> None:
    """Each of 380 instances has links to 8 others or more, and none to many more."""
    names = [f"cq-{number}" for number in range(380)]
    linked: dict[str, set[str]] = {name: set() for name in names}
    for name in names:
        ranked = failure_detector.rank(
            name, [other for other in names if other != name]
        )
        for other in ranked[:8]:
            linked[name].add(other)
            linked[other].add(name)
    counts = sorted(len(others) for others in linked.values())
    assert counts[0] >= 8
    assert counts[-1] <= 24

    reached = {"cq-0"}
    hops = 0
    while len(reached) < 380:
        reached |= {other for name in reached for other in linked[name]}
        hops += 1
    assert hops <= 5


def test_an_instance_with_another_key_is_rejected() -> None:
    """An instance with another key never joins; the others are not affected."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(2)
            stranger = await fleet.add("cq-9", keys=["another key"])
            await light.until(lambda: stranger.pauses.is_current, 10)
            await light.until(
                lambda: fleet.instances["cq-1"].view == {"cq-1", "cq-2"}, 10
            )
            assert stranger.view == {"cq-9"}

    asyncio.run(run())


def test_keys_rotate_one_instance_after_another() -> None:
    """No instance is cut off while operators replace the shared key.

    Steps: all have the old key; each is restarted with old and new; each with new and
    old; then with the new alone. Instances one step apart accept each other.
    """
    steps = [["old"], ["old", "new"], ["new", "old"], ["new"]]

    async def run() -> None:
        for before, after in itertools.pairwise(steps):
            async with fleets.fleet() as fleet:
                await fleet.add("cq-1", keys=before)
                await fleet.add("cq-2", keys=after)
                await fleet.wait_for_members()

    asyncio.run(run())


def test_garbage_ends_only_its_own_connection() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, _ = await fleet.add_many(2)
            await fleet.wait_for_members()
            host, _, port = one.peers.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"\xc1\xff" * 100)
            while await reader.read(4096):
                pass
            writer.close()
            await fleet.wait_for_members()

    asyncio.run(run())


def test_a_malformed_frame_raises_invalid_frame() -> None:
    decoder = frames.Decoder()
    with pytest.raises(exceptions.InvalidFrame):
        decoder.feed(b"\x93\x04\xa1x\x01")


def test_tokens_issued_by_other_instances_are_valid_at_their_owner() -> None:
    """A token for one instance, issued by another, is valid at the former.

    It has the right incarnation and expires no later than one issued by the owner.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, two = await fleet.add_many(2)
            await fleet.wait_for_members()
            answer = addresses.answer(one.settings, one.membership, "east")
            tokens_by_instance = {
                a["instance"]: a["token"] for a in answer["addresses"]
            }
            request_id = tokens.parse(
                two.settings.keys, f"{tokens_by_instance['cq-2']}~x"
            )
            assert request_id.incarnation == two.incarnation
            latest = two.membership.uptime("cq-2") + two.settings.owner.token_seconds
            assert latest - 5.0 < request_id.expiry <= latest

    asyncio.run(run())


def test_callers_spread_evenly_and_prefer_their_own_domain() -> None:
    """Each of 9 equally loaded instances gets its share; those nearby come first.

    When those in the caller's domain have a much higher load, others are preferred.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            for number in range(9):
                await fleet.add(f"cq-{number}", domain=f"d{number % 3}")
            await fleet.wait_for_members()
            one = fleet.instances["cq-0"]

            def first(domain: str) -> collections.Counter[str]:
                first_counts: collections.Counter[str] = collections.Counter()
                for _ in range(9000):
                    answer = addresses.answer(one.settings, one.membership, domain)
                    first_counts[answer["addresses"][0]["instance"]] += 1
                return first_counts

            everywhere = first("elsewhere")
            assert len(everywhere) == 9
            assert 700 < min(everywhere.values()) < max(everywhere.values()) < 1300
            near = first("d1")
            share = near["cq-1"] + near["cq-4"] + near["cq-7"]
            assert share > 0.75 * 9000
            for name, record in list(one.membership.facts.records.items()):
                load = 60.0 if record.member.domain == "d1" else 4.0
                fact = record.member._replace(load=load, sequence=1000)
                if name != "cq-0":
                    one.membership.learn(fact)
            busy = first("d1")
            assert busy["cq-1"] + busy["cq-4"] + busy["cq-7"] < 0.25 * 9000

    asyncio.run(run())


def test_a_suspicion_is_refuted_by_the_suspected() -> None:
    """A live instance that another suspects by mistake is listed again."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, two, _ = await fleet.add_many(3)
            await fleet.wait_for_members()
            before = one.membership.facts.records["cq-2"].order
            one.membership.facts.suspect(messages.Suspicion("cq-2", *before))
            await light.until(
                lambda: one.membership.facts.records["cq-2"].order > before, 10
            )
            await fleet.wait_for_members()
            assert two.view == set(fleet.instances)

    asyncio.run(run())


def test_a_later_instance_detects_older_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against taking the restart of one instance for a start of the fleet."""
    monkeypatch.setattr(facts, "START_SPREAD_SECONDS", 0.05)

    async def run() -> None:
        async with fleets.fleet() as fleet:
            first = await fleet.add("cq-1")
            await asyncio.sleep(0.1)
            second = await fleet.add("cq-2")
            await fleet.wait_for_members()
            assert second.membership.has_older_instances()
            assert not first.membership.has_older_instances()

    asyncio.run(run())
