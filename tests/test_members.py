"""Membership: who is seen, suspected, forgotten and handed out, on loopback links."""

import asyncio
import collections
import itertools

import fleets
import pytest

from cassiaquay_daemon import exceptions
from cassiaquay_daemon.fleet import facts, failure_detector
from cassiaquay_daemon.interface import addresses
from cassiaquay_daemon.links import frames, peers
from cassiaquay_daemon.owners import tokens
from cassiaquay_dev.sizing import light
from cassiaquay_schema import messages


def test_instances_find_each_other_by_the_list_alone() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(5)
            await fleet.agree()

    asyncio.run(run())


def test_instances_find_each_other_by_a_seed_when_the_list_is_down() -> None:
    """A caller is sent to all instances though nobody can read the instance list.

    The list is down from the start. Each knows one seed address; from it the facts on
    all others spread.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            fleet.listing.down = True
            first = await fleet.add("cq-1")
            for number in range(2, 5):
                await fleet.add(f"cq-{number}", seeds=[first.peers.address])
            await fleet.agree()

    asyncio.run(run())


def test_a_killed_instance_is_handed_out_to_nobody() -> None:
    """After a moment no caller is sent to a dead instance.

    It is killed without a farewell; the list goes on showing it as live. Its watchers
    see the connection close, ask others, and suspect it.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(4)
            await fleet.agree()
            await fleet.kill("cq-4")
            await fleet.agree()
            for one in fleet.lives.values():
                answer = addresses.answer(one.settings, one.membership, "east")
                assert "cq-4" not in [a["instance"] for a in answer["addresses"]]

    asyncio.run(run())


def test_one_broken_connection_is_no_death() -> None:
    """Callers keep being sent to both ends of a broken connection.

    Two of four instances cannot reach each other; the others hear both. Whoever
    misses heartbeats asks the others first, so nobody is suspected.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, other, *_ = await fleet.add_many(4)
            await fleet.agree()
            light.separate(one, other)
            for _ in range(40):
                await asyncio.sleep(0.03)
                views = [life.view for life in fleet.lives.values()]
                assert views == [set(fleet.lives)] * 4

    asyncio.run(run())


def test_helpers_without_a_connection_are_asked_too() -> None:
    """Callers keep being sent to both ends of a broken connection in a larger fleet.

    Of twelve instances each has connections to a few. One misses another's heartbeats
    and asks helpers that it has to dial first.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            lives = await fleet.add_many(12, neighbours=2, suspect_after=0.6)
            await fleet.agree()
            await asyncio.sleep(1.5)
            one = lives[0]
            other = fleet.lives[next(iter(one.membership.neighbours()))]
            light.separate(one, other)
            for _ in range(60):
                await asyncio.sleep(0.03)
                views = [life.view for life in fleet.lives.values()]
                assert views == [set(fleet.lives)] * 12

    asyncio.run(run())


def test_a_paused_instance_is_suspected_whoever_else_waits_for_it() -> None:
    """Callers of a paused instance are sent on within two periods of the deadline.

    Its connections stay open and say nothing. The two that watch it ask each other in
    turns; none may take for a sign of life that the other has begun to wait anew.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, other, third = await fleet.add_many(3)
            await fleet.agree()
            third.pause()
            await light.until(lambda: one.view == {"cq-1", "cq-2"}, 3)
            await light.until(lambda: other.view == {"cq-1", "cq-2"}, 3)

    asyncio.run(run())


def test_two_sides_of_a_partition_find_each_other_again() -> None:
    """Callers of each side are sent to that side only, then to all again.

    Each side suspects the other and forgets it. The list is down all the while, so
    that after the healing only the memory of the lost addresses helps.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            a, b, c, d = await fleet.add_many(4)
            await fleet.agree()
            fleet.listing.down = True
            pairs = [(a, c), (a, d), (b, c), (b, d)]
            for one, other in pairs:
                light.separate(one, other)
            await light.until(lambda: a.view == b.view == {"cq-1", "cq-2"}, 10)
            await light.until(lambda: c.view == d.view == {"cq-3", "cq-4"}, 10)
            await light.until(lambda: len(a.membership.facts.records) == 2, 10)
            for one, other in pairs:
                light.join(one, other)
            await fleet.agree()

    asyncio.run(run())


def test_an_instance_known_by_hearsay_alone_is_suspected_too() -> None:
    """A caller of an instance that is cut off is not sent to one never heard there.

    One learns of another by a third, and is cut off from the third at once. Nobody
    that it hears watches the other for it: it has to miss heartbeats that never came.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, other, third = await fleet.add_many(3, refresh_seconds=0.1)
            light.separate(one, other)
            await fleet.agree()
            light.separate(one, third)
            await light.until(lambda: one.view == {"cq-1"}, 10)

    asyncio.run(run())


def test_a_restarted_instance_takes_the_place_of_its_earlier_life() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, two = await fleet.add_many(2)
            await fleet.agree()
            old = two.incarnation
            await fleet.kill("cq-2")
            new = await fleet.add("cq-2")
            await light.until(
                lambda: (
                    (seen := one.membership.find("cq-2")) is not None
                    and seen.incarnation == new.incarnation != old
                ),
                10,
            )

    asyncio.run(run())


def test_a_leaving_instance_is_not_handed_out() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            *_, last = await fleet.add_many(3)
            await fleet.agree()
            last.membership.announce_leaving()
            await fleet.agree(["cq-1", "cq-2"])

    asyncio.run(run())


def test_an_instance_that_the_list_calls_leaving_is_not_handed_out() -> None:
    """The platform is about to take an instance away that does not know it yet.

    A line with another address is of an earlier life of that name and is not heeded.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            *_, last = await fleet.add_many(3)
            last.enlist(leaving=True)
            await fleet.agree(["cq-1", "cq-2"])
            line = fleet.listing.lines["cq-3"]
            fleet.listing.lines["cq-3"] = line._replace(http="10.9.9.9:80")
            await fleet.agree(["cq-1", "cq-2", "cq-3"])

    asyncio.run(run())


def test_an_instance_that_has_left_the_list_serves_while_it_is_heard() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(3)
            await fleet.agree()
            del fleet.listing.lines["cq-3"]
            calls = fleet.listing.calls
            await light.until(lambda: fleet.listing.calls > calls + 9, 10)
            await fleet.agree(["cq-1", "cq-2", "cq-3"])

    asyncio.run(run())


def test_everybody_is_watched_where_neighbours_are_few() -> None:
    """With three neighbours for each of 24, a killed one is noticed by all.

    No instance sends heartbeats to all others; the news of the death spreads.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(24, neighbours=3, period=0.1, suspect_after=0.8)
            await fleet.agree()
            watched = collections.Counter()
            for one in fleet.lives.values():
                watched.update(one.membership.neighbours().keys())
                assert len(one.membership.neighbours()) == 3
            await fleet.kill("cq-7")
            await fleet.agree()

    asyncio.run(run())


def test_choices_that_are_over_are_not_kept_alive() -> None:
    """Callers of a large fleet do not pay for heartbeats that nobody asked for.

    While 24 instances start, each chooses others as it hears of them. Once all are
    known, heartbeats go to the three that are chosen, and to those that chose it.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(24, neighbours=3, period=0.1, suspect_after=0.8)
            await fleet.agree()
            chose: dict[str, set[str]] = collections.defaultdict(set)
            for name, one in fleet.lives.items():
                for other in one.membership.neighbours():
                    chose[name].add(other)
                    chose[other].add(name)

            def asked() -> bool:
                for name, one in fleet.lives.items():
                    used = {link.instance for link in one.membership._links_to_use()}
                    if used != chose[name]:
                        return False
                return True

            await light.until(asked, 10)

    asyncio.run(run())


def test_ranks_of_neighbours_leave_nobody_out() -> None:
    """Each of 380 hears at least the 8 that it chose; few have many more links."""
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


def test_a_stranger_is_refused_and_the_others_go_on() -> None:
    """An instance with another key is never seen; those with the right one go on."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(2)
            stranger = await fleet.add("cq-9", keys=["another key"])
            await light.until(lambda: stranger.pauses.current, 10)
            await light.until(lambda: fleet.lives["cq-1"].view == {"cq-1", "cq-2"}, 10)
            assert stranger.view == {"cq-9"}

    asyncio.run(run())


def test_keys_rotate_one_instance_after_another() -> None:
    """No instance is cut off while operators replace the shared key.

    Steps: all know the old key; each is restarted with old and new; each with new and
    old; then with the new alone. Two neighbouring steps always understand each other.
    """
    steps = [["old"], ["old", "new"], ["new", "old"], ["new"]]

    async def run() -> None:
        for before, after in itertools.pairwise(steps):
            async with fleets.fleet() as fleet:
                await fleet.add("cq-1", keys=before)
                await fleet.add("cq-2", keys=after)
                await fleet.agree()

    asyncio.run(run())


def test_a_second_process_with_the_same_name_is_refused() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            one = await fleet.add("cq-1")
            double = light.Light(one.settings, fleet.published, fleet.listing)
            await double.peers.start()
            link = double.peers.link(f"{peers.SEED}x", one.peers.address)
            await light.until(
                lambda: double.peers.failed_since(f"{peers.SEED}x", 0.0), 10
            )
            assert link is None
            assert double.peers.link(f"{peers.SEED}x", one.peers.address) is None
            await double.peers.stop()

    asyncio.run(run())


def test_garbage_ends_only_its_own_connection() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, _ = await fleet.add_many(2)
            await fleet.agree()
            host, _, port = one.peers.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"\xc1\xff" * 100)
            while await reader.read(4096):
                pass
            writer.close()
            await fleet.agree()

    asyncio.run(run())


def test_a_frame_that_is_no_message_is_a_fault() -> None:
    decoder = frames.Decoder()
    with pytest.raises(exceptions.InvalidFrame):
        decoder.feed(b"\x93\x04\xa1x\x01")


def test_tokens_made_by_others_are_good_at_their_owner() -> None:
    """A caller gets a token for one instance from another one.

    It names the right incarnation and does not outlive what the owner would give.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, two = await fleet.add_many(2)
            await fleet.agree()
            answer = addresses.answer(one.settings, one.membership, "east")
            made = {a["instance"]: a["token"] for a in answer["addresses"]}
            found = tokens.parse(two.settings.keys, f"{made['cq-2']}~x")
            assert found.incarnation == two.incarnation
            latest = two.membership.uptime("cq-2") + two.settings.owner.token_seconds
            assert latest - 5.0 < found.expiry <= latest

    asyncio.run(run())


def test_callers_spread_evenly_and_prefer_their_own_domain() -> None:
    """Of 9 equally loaded instances each gets its share; near ones come first.

    When the near ones have much more to do than the far ones, the far ones are
    preferred again.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            for number in range(9):
                await fleet.add(f"cq-{number}", domain=f"d{number % 3}")
            await fleet.agree()
            one = fleet.lives["cq-0"]

            def first(domain: str) -> collections.Counter[str]:
                counted: collections.Counter[str] = collections.Counter()
                for _ in range(9000):
                    answer = addresses.answer(one.settings, one.membership, domain)
                    counted[answer["addresses"][0]["instance"]] += 1
                return counted

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
    """A live instance that one other suspects by mistake is handed out again."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, two, _ = await fleet.add_many(3)
            await fleet.agree()
            before = one.membership.facts.records["cq-2"].order
            one.membership.facts.suspect(messages.Suspicion("cq-2", *before))
            await light.until(
                lambda: one.membership.facts.records["cq-2"].order > before, 10
            )
            await fleet.agree()
            assert two.view == set(fleet.lives)

    asyncio.run(run())


def test_an_instance_that_starts_later_knows_that_others_ran_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a restart that is taken for the loss of the whole fleet."""
    monkeypatch.setattr(facts, "START_SPREAD_SECONDS", 0.05)

    async def run() -> None:
        async with fleets.fleet() as fleet:
            first = await fleet.add("cq-1")
            await asyncio.sleep(0.1)
            second = await fleet.add("cq-2")
            await fleet.agree()
            assert second.membership.has_older_instances()
            assert not first.membership.has_older_instances()

    asyncio.run(run())
