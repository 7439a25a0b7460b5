"""Configuration: in force everywhere, strictly upwards, whatever the platform does."""

import asyncio

import fleets
import hypothesis
import pytest
from hypothesis import strategies

from cassiaquay_daemon.configured import changes
from cassiaquay_daemon.fleet import configuration
from cassiaquay_daemon.links import peers
from cassiaquay_dev.sizing import light
from cassiaquay_schema import messages


def test_a_new_text_is_in_force_everywhere() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(5)
            await fleet.reach(1)
            fleet.published.publish(2, fleets.text(2))
            await fleet.reach(2)

    asyncio.run(run())


def test_a_rejected_text_leaves_the_accepted_one_in_force() -> None:
    """Callers go on under revision 1 while 2 has a fault; 3 is taken.

    The fault is reported with its place and reason at the instances that read it.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(3)
            await fleet.reach(1)
            fleet.published.publish(2, fleets.unsound())
            lives = fleet.lives.values()
            await light.until(lambda: any(x.configuration.rejected for x in lives), 10)
            reports = [x.configuration.rejected.get(2, "") for x in lives]
            report = next(filter(None, reports))
            assert "tiers.interactive.rank" in report
            assert "rank 0 is that of tier 'urgent' too" in report
            assert {x.configuration.revision for x in lives} == {1}
            fleet.published.publish(3, fleets.text(3))
            await fleet.reach(3)
            assert all(x.in_force in ([1, 3], [3]) for x in lives)

    asyncio.run(run())


@pytest.mark.parametrize(
    "text", ["", "\x00", "a = [", "[tiers]\nurgent = 3", "x" * 9, "[" * 5000]
)
def test_no_text_stops_an_instance(text: str) -> None:
    links = peers.Peers(light.settings_of("cq-1"), "a" * 12)
    configured = configuration.Configuration(light.settings_of("cq-1"), links)
    configured.accept(1, fleets.text(1))
    assert not configured.accept(2, text)
    assert configured.revision == 1
    assert configured.rejected[2]


def test_a_service_that_is_down_from_the_start_holds_back_until_it_is_up() -> None:
    """Callers are refused as not ready, and served as soon as the text can be read."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            fleet.published.down = True
            one, two = await fleet.add_many(2)
            await light.until(lambda: one.pauses.current and two.pauses.current, 10)
            assert one.configuration.current is None
            assert one.view == set()
            fleet.published.down = False
            await fleet.reach(1)
            await fleet.agree()

    asyncio.run(run())


def test_an_instance_starts_while_the_service_is_down_for_long() -> None:
    """The new one takes the text from its peers, and those go on under it."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(2)
            await fleet.reach(1)
            fleet.published.down = True
            await fleet.add("cq-3")
            await fleet.reach(1)
            await fleet.agree()

    asyncio.run(run())


def test_a_restart_against_a_stale_service_serves_by_the_newest_text() -> None:
    """A restarted instance never has revision 1 in force while the others have 2.

    The service shows 1 again. The starting one hears both from the service and from
    its peers, and holds back until it has the higher.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(3)
            fleet.published.publish(2, fleets.text(2))
            await fleet.reach(2)
            fleet.published.publish(1, fleets.text(1))
            await fleet.kill("cq-2")
            new = await fleet.add("cq-2")
            await fleet.reach(2)
            assert new.in_force == [2]

    asyncio.run(run())


def test_all_are_replaced_one_after_another_while_the_service_is_stale() -> None:
    """No instance, old or new, ever goes back to revision 1.

    Nothing keeps revision 2 but the running instances, which pass it on.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(4)
            fleet.published.publish(2, fleets.text(2))
            await fleet.reach(2)
            fleet.published.publish(1, fleets.text(1))
            for number in range(1, 5):
                await fleet.agree()
                await fleet.kill(f"cq-{number}")
                new = await fleet.add(f"cq-{number}")
                await fleet.reach(2)
                assert new.in_force == [2]

    asyncio.run(run())


def test_all_replaced_at_once_while_the_service_is_stale_go_back() -> None:
    """What cannot be promised: nobody is left who knows revision 2.

    Nothing of the system is stored; the stale service is all that the new ones have.
    They take the newer text as soon as the service shows it.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(2)
            fleet.published.publish(2, fleets.text(2))
            await fleet.reach(2)
            await fleet.kill("cq-1")
            await fleet.kill("cq-2")
            fleet.published.publish(1, fleets.text(1))
            await fleet.add_many(2)
            await fleet.reach(1)
            fleet.published.publish(2, fleets.text(2))
            await fleet.reach(2)

    asyncio.run(run())


def test_a_flapping_service_moves_nobody_back() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(3)
            await fleet.reach(1)
            for number in range(2, 8):
                fleet.published.publish(number, fleets.text(number))
                await asyncio.sleep(0.02)
                fleet.published.down = number % 2 == 0
                fleet.published.publish(number - 1, fleets.text(number - 1))
                await asyncio.sleep(0.02)
            fleet.published.down = False
            fleet.published.publish(8, fleets.text(8))
            await fleet.reach(8)
            for one in fleet.lives.values():
                assert one.in_force == sorted(set(one.in_force))

    asyncio.run(run())


def test_an_instance_without_peers_starts_within_its_wait() -> None:
    """The list names an instance that never answers; the starting one serves alone."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            ghost = await fleet.add("cq-9")
            await fleet.kill("cq-9")
            await fleet.add("cq-1")
            await fleet.reach(1)
            assert fleet.lives["cq-1"].view == {"cq-1"}
            assert ghost.name not in fleet.lives

    asyncio.run(run())


def test_a_side_cut_off_from_the_service_catches_up_after_the_partition() -> None:
    """One instance reads a service that stays at 1 and hears nobody; then it does.

    It never puts anything but 1 and then 3 in force.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            old = light.Published()
            old.publish(1, fleets.text(1))
            one, two = await fleet.add_many(2)
            far = await fleet.add("cq-3", published=old)
            await fleet.agree()
            for near in (one, two):
                light.separate(near, far)
            fleet.published.publish(3, fleets.text(3))
            await light.until(lambda: one.configuration.revision == 3, 10)
            assert far.configuration.revision == 1
            for near in (one, two):
                light.join(near, far)
            await fleet.reach(3)
            assert far.in_force == [1, 3]

    asyncio.run(run())


def test_two_texts_under_one_revision_end_with_the_same_everywhere() -> None:
    """Two halves of the platform show different texts as revision 2.

    Neither is the older. All instances end with the one of the greater digest.
    """
    wanted = max(fleets.text(20), fleets.text(21), key=configuration.digest_of)

    async def run() -> None:
        async with fleets.fleet() as fleet:
            other = light.Published()
            other.publish(2, fleets.text(20))
            fleet.published.publish(2, fleets.text(21))
            await fleet.add_many(2)
            await fleet.add("cq-3", published=other)
            lives = fleet.lives.values()

            def same() -> bool:
                current = [one.configuration.current for one in lives]
                return all(found and found.text == wanted for found in current)

            await light.until(same, 10)

    asyncio.run(run())


def test_a_paused_instance_acts_only_after_it_has_learnt_what_is_true() -> None:
    """A process wakes up late and holds back until a peer has told it what is true.

    While it slept the others went to revision 2 and one of them died. It is cut off
    at first, so that what it knows is stale; its wait is bounded all the same.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            _, two, _ = await fleet.add_many(3)
            await fleet.agree()
            two.slept += 60.0
            assert not two.pauses.current
            fleet.published.publish(2, fleets.text(2))
            await light.until(lambda: two.pauses.current, 10)
            await fleet.reach(2)
            assert two.pauses.count == 1
            assert two.in_force == [1, 2]

    asyncio.run(run())


def test_a_woken_instance_does_not_take_buffered_news_for_fresh() -> None:
    """Only answers to questions asked after the pause let an instance act again."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, two = await fleet.add_many(2)
            await fleet.agree()
            two.slept += 60.0
            assert not two.pauses.current
            link = two.peers.link("cq-1", one.peers.address)
            assert link is not None
            stale = messages.Refreshed(0, 1, one.configuration.digest, [])
            two.peers._handlers[messages.Refreshed](link, stale)
            assert not two.pauses.current
            await light.until(lambda: two.pauses.current, 10)

    asyncio.run(run())


def test_most_changes_spread_without_the_whole_text(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A change of one line reaches all instances as that line, not as the text.

    Only one of eight can read the service; the others have it from their peers.
    """
    sent: list[messages.Message] = []
    send = peers.Link.send

    def count(link: peers.Link, message: messages.Message) -> bool:
        sent.append(message)
        return send(link, message)

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add("cq-0")
            out_of_reach = light.Published()
            out_of_reach.down = True
            for number in range(1, 8):
                await fleet.add(f"cq-{number}", published=out_of_reach)
            await fleet.reach(1)
            await fleet.agree()
            monkeypatch.setattr(peers.Link, "send", count)
            fleet.published.publish(2, fleets.text(2))
            await fleet.reach(2)

    asyncio.run(run())
    texts = [m for m in sent if isinstance(m, messages.ConfigurationText)]
    parts = [m for m in sent if isinstance(m, messages.ConfigurationChange)]
    assert not texts
    assert 0 < len(parts) <= 16
    assert all(len(part.part) < 20 for part in parts)


@hypothesis.given(strategies.text("ab\n", max_size=40), strategies.text("ab\n"))
def test_a_change_turns_the_one_text_into_the_other(before: str, after: str) -> None:
    assert changes.apply(before, changes.difference(before, after)) == after
