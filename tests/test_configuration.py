"""Configuration: revisions reach all instances and never go back."""

import asyncio

import fleets
import hypothesis
import pytest
from hypothesis import strategies

from cassiaquay_daemon import platform
from cassiaquay_daemon.configured import changes
from cassiaquay_daemon.fleet import configuration
from cassiaquay_daemon.links import peers
from cassiaquay_dev.sizing import light
from cassiaquay_schema import messages


def test_a_new_text_is_in_force_everywhere() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(5)
            await fleet.wait_for_revision(1)
            fleet.published.publish(2, fleets.text(2))
            await fleet.wait_for_revision(2)

    asyncio.run(run())


def test_a_rejected_text_leaves_the_accepted_one_in_force() -> None:
    """Revision 1 stays in force while 2 is invalid; revision 3 is accepted.

    The instances that read the invalid text report its location and reason.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(3)
            await fleet.wait_for_revision(1)
            fleet.published.publish(2, fleets.invalid_text())
            instances = fleet.instances.values()
            await light.until(
                lambda: any(x.configuration.rejected for x in instances), 10
            )
            reports = [x.configuration.rejected.get(2, "") for x in instances]
            report = next(filter(None, reports))
            assert "tiers.interactive.rank" in report
            assert "rank 0 is that of tier 'urgent' too" in report
            assert {x.configuration.revision for x in instances} == {1}
            fleet.published.publish(3, fleets.text(3))
            await fleet.wait_for_revision(3)
            assert all(x.in_force in ([1, 3], [3]) for x in instances)

    asyncio.run(run())


@pytest.mark.parametrize(
    "text", ["", "\x00", "a = [", "[tiers]\nurgent = 3", "x" * 9, "[" * 5000]
)
def test_malformed_texts_are_rejected(text: str) -> None:
    links = peers.Peers(light.settings_of("cq-1"), "a" * 12)
    configured = configuration.Configuration(light.settings_of("cq-1"), links)
    configured.accept(platform.Published(1, fleets.text(1)))
    assert not configured.accept(platform.Published(2, text))
    assert configured.revision == 1
    assert configured.rejected[2]


def test_instances_do_not_serve_until_the_service_is_first_up() -> None:
    """Callers are refused as not ready until the text can be read."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            fleet.published.down = True
            one, two = await fleet.add_many(2)
            await light.until(
                lambda: one.pauses.is_current and two.pauses.is_current, 10
            )
            assert one.configuration.current is None
            assert one.view == set()
            fleet.published.down = False
            await fleet.wait_for_revision(1)
            await fleet.wait_for_members()

    asyncio.run(run())


def test_an_instance_starts_during_an_outage_of_the_service() -> None:
    """The new instance gets the text from its peers, which continue to serve."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(2)
            await fleet.wait_for_revision(1)
            fleet.published.down = True
            await fleet.add("cq-3")
            await fleet.wait_for_revision(1)
            await fleet.wait_for_members()

    asyncio.run(run())


def test_an_instance_restarted_with_a_stale_service_uses_the_newest_text() -> None:
    """A restarted instance never puts revision 1 in force while the others have 2.

    The service returns revision 1 again. The instance queries the service and its peers
    and does not serve until it has the higher revision.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(3)
            fleet.published.publish(2, fleets.text(2))
            await fleet.wait_for_revision(2)
            fleet.published.publish(1, fleets.text(1))
            await fleet.kill("cq-2")
            new = await fleet.add("cq-2")
            await fleet.wait_for_revision(2)
            assert new.in_force == [2]

    asyncio.run(run())


def test_a_rolling_restart_with_a_stale_service_keeps_the_newest_text() -> None:
    """No instance, old or new, ever goes back to revision 1.

    Revision 2 exists only on the running instances, which send it to new ones.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(4)
            fleet.published.publish(2, fleets.text(2))
            await fleet.wait_for_revision(2)
            fleet.published.publish(1, fleets.text(1))
            for number in range(1, 5):
                await fleet.wait_for_members()
                await fleet.kill(f"cq-{number}")
                new = await fleet.add(f"cq-{number}")
                await fleet.wait_for_revision(2)
                assert new.in_force == [2]

    asyncio.run(run())


def test_a_fleet_replaced_at_once_falls_back_to_the_stale_text() -> None:
    """States a limit: revision 2 is lost when no running instance has it.

    Instances store nothing on disk, so new ones have only the stale service. They apply
    the newer text as soon as the service returns it.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(2)
            fleet.published.publish(2, fleets.text(2))
            await fleet.wait_for_revision(2)
            await fleet.kill("cq-1")
            await fleet.kill("cq-2")
            fleet.published.publish(1, fleets.text(1))
            await fleet.add_many(2)
            await fleet.wait_for_revision(1)
            fleet.published.publish(2, fleets.text(2))
            await fleet.wait_for_revision(2)

    asyncio.run(run())


def test_a_flapping_service_causes_no_return_to_an_older_revision() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            await fleet.add_many(3)
            await fleet.wait_for_revision(1)
            for number in range(2, 8):
                fleet.published.publish(number, fleets.text(number))
                await asyncio.sleep(0.02)
                fleet.published.down = number % 2 == 0
                fleet.published.publish(number - 1, fleets.text(number - 1))
                await asyncio.sleep(0.02)
            fleet.published.down = False
            fleet.published.publish(8, fleets.text(8))
            await fleet.wait_for_revision(8)
            for one in fleet.instances.values():
                assert one.in_force == sorted(set(one.in_force))

    asyncio.run(run())


def test_an_instance_without_reachable_peers_starts_after_a_timeout() -> None:
    """The list has an instance that never answers; the starting one serves alone."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            ghost = await fleet.add("cq-9")
            await fleet.kill("cq-9")
            await fleet.add("cq-1")
            await fleet.wait_for_revision(1)
            assert fleet.instances["cq-1"].view == {"cq-1"}
            assert ghost.name not in fleet.instances

    asyncio.run(run())


def test_a_partitioned_instance_gets_the_newest_text_after_the_partition() -> None:
    """An isolated instance, whose service stays at 1, is reconnected to its peers.

    It puts only revision 1 and then revision 3 in force.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            old = light.Published()
            old.publish(1, fleets.text(1))
            one, two = await fleet.add_many(2)
            far = await fleet.add("cq-3", published=old)
            await fleet.wait_for_members()
            for near in (one, two):
                light.separate(near, far)
            fleet.published.publish(3, fleets.text(3))
            await light.until(lambda: one.configuration.revision == 3, 10)
            assert far.configuration.revision == 1
            for near in (one, two):
                light.join(near, far)
            await fleet.wait_for_revision(3)
            assert far.in_force == [1, 3]

    asyncio.run(run())


def test_two_texts_under_one_revision_converge_on_one() -> None:
    """Two halves of the platform return different texts as revision 2.

    All instances converge on the text with the greater digest.
    """
    wanted = max(fleets.text(20), fleets.text(21), key=configuration.digest_of)

    async def run() -> None:
        async with fleets.fleet() as fleet:
            other = light.Published()
            other.publish(2, fleets.text(20))
            fleet.published.publish(2, fleets.text(21))
            await fleet.add_many(2)
            await fleet.add("cq-3", published=other)
            instances = fleet.instances.values()

            def same() -> bool:
                current = [one.configuration.current for one in instances]
                return all(snapshot and snapshot.text == wanted for snapshot in current)

            await light.until(same, 10)

    asyncio.run(run())


def test_a_paused_instance_acts_only_after_a_refresh() -> None:
    """After a pause a process does not act until it has refreshed its state.

    The others apply revision 2 meanwhile; the paused one must do so before it acts.
    """

    async def run() -> None:
        async with fleets.fleet() as fleet:
            _, two, _ = await fleet.add_many(3)
            await fleet.wait_for_members()
            two.slept += 60.0
            assert not two.pauses.is_current
            fleet.published.publish(2, fleets.text(2))
            await light.until(lambda: two.pauses.is_current, 10)
            await fleet.wait_for_revision(2)
            assert two.pauses.count == 1
            assert two.in_force == [1, 2]

    asyncio.run(run())


def test_buffered_answers_do_not_end_a_refresh_after_a_pause() -> None:
    """Only answers to queries sent after the pause let an instance act again."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, two = await fleet.add_many(2)
            await fleet.wait_for_members()
            two.slept += 60.0
            assert not two.pauses.is_current
            link = two.peers.link("cq-1", one.peers.address)
            assert link is not None
            stale = messages.Refreshed(
                0, 1, one.configuration.newest_version.digest, []
            )
            two.peers._handlers[messages.Refreshed](link, stale)
            assert not two.pauses.is_current
            await light.until(lambda: two.pauses.is_current, 10)

    asyncio.run(run())


def test_small_changes_are_sent_as_diffs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A change of one line is sent as a diff, not as the whole text.

    Only one of eight instances can read the service; the others get it from peers.
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
            await fleet.wait_for_revision(1)
            await fleet.wait_for_members()
            monkeypatch.setattr(peers.Link, "send", count)
            fleet.published.publish(2, fleets.text(2))
            await fleet.wait_for_revision(2)

    asyncio.run(run())
    texts = [m for m in sent if isinstance(m, messages.ConfigurationText)]
    parts = [m for m in sent if isinstance(m, messages.ConfigurationChange)]
    assert not texts
    assert 0 < len(parts) <= 16
    assert all(len(part.part) < 20 for part in parts)


@hypothesis.given(strategies.text("ab\n", max_size=40), strategies.text("ab\n"))
def test_a_diff_turns_one_text_into_the_other(before: str, after: str) -> None:
    assert changes.apply(before, changes.difference(before, after)) == after
