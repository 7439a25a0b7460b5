"""Several processes of one instance, one after the other or at a time."""

import asyncio
import time

import fleets
import pytest

from cassiaquay_daemon.links import peers
from cassiaquay_dev.sizing import light


def test_a_restarted_instance_replaces_its_earlier_incarnation() -> None:
    async def run() -> None:
        async with fleets.fleet() as fleet:
            one, two = await fleet.add_many(2)
            await fleet.wait_for_members()
            old = two.incarnation
            await fleet.kill("cq-2")
            new = await fleet.add("cq-2")
            await light.until(
                lambda: (
                    (member := one.membership.find("cq-2")) is not None
                    and member.incarnation == new.incarnation != old
                ),
                10,
            )

    asyncio.run(run())


@pytest.mark.parametrize("is_suspected", [False, True])
def test_an_instance_restarted_with_its_clock_set_back_is_accepted(
    monkeypatch: pytest.MonkeyPatch, is_suspected: bool
) -> None:
    """Guards against facts of a new process that rank below those of the former one."""

    async def run() -> None:
        async with fleets.fleet() as fleet:
            _, other = await fleet.add_many(2)
            await fleet.wait_for_members()
            await fleet.kill("cq-1")
            if is_suspected:
                await light.until(lambda: other.view == {"cq-2"}, 10)
            real_time = time.time
            monkeypatch.setattr(time, "time", lambda: real_time() - 100.0)
            again = await fleet.add("cq-1")
            monkeypatch.undo()

            def is_known() -> bool:
                record = other.membership.facts.records.get("cq-1")
                if record is None or record.suspected_at is not None:
                    return False
                return record.member.incarnation == again.incarnation

            await light.until(is_known, 10)
            again.membership.announce_leaving()
            await light.until(lambda: other.view == {"cq-2"}, 10)

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
