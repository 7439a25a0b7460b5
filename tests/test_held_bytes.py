"""Answers that are held together: within the bound, and none waits for ever."""

import asyncio
import collections.abc

import hypothesis
from hypothesis import strategies

from cassiaquay_daemon.decisions import held_bytes
from cassiaquay_daemon.gateway import holding

BOUND = 48
MAX_ANSWER = 16


def _made() -> held_bytes.HeldBytes:
    return held_bytes.HeldBytes(BOUND, MAX_ANSWER)


@hypothesis.given(
    strategies.lists(strategies.integers(1, MAX_ANSWER), min_size=1, max_size=20),
    strategies.lists(strategies.integers(0, 19), max_size=300),
)
def test_any_answers_end_in_any_order(lengths: list[int], order: list[int]) -> None:
    """Guards against answers that wait for each other, and against too many bytes."""
    held = _made()
    sizes = dict.fromkeys(range(len(lengths)), 0)

    def read_on(number: int) -> bool:
        if number not in sizes or not held.grow(number, sizes[number] + 1):
            return False
        sizes[number] += 1
        assert held.used == sum(sizes.values()) <= BOUND
        if sizes[number] == lengths[number]:
            held.free(number)
            del sizes[number]
        return True

    for number in order:
        read_on(number)
    while sizes:
        progressed = [read_on(number) for number in list(sizes)]
        assert any(progressed)
    assert held.used == 0
    assert held.peak <= BOUND


def test_answer_waits_rather_than_take_the_room_of_the_largest() -> None:
    held = _made()
    assert held.grow("a", 12)
    assert held.grow("b", 16)
    assert held.grow("c", 16)
    assert not held.grow("d", 5)
    assert held.grow("a", 16)
    held.free("b")
    assert held.grow("d", 16)


def _run(work: collections.abc.Coroutine[None, None, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(5.0):
            await work

    asyncio.run(bounded())


def test_closed_answers_give_their_room_to_those_that_wait() -> None:
    """Guards against room that is lost with an answer that is closed as it waits."""

    async def work() -> None:
        room = holding.Room(_made())
        holds = [holding.Hold(room) for _ in range(6)]
        for hold in holds[:3]:
            assert hold.try_grow(MAX_ANSWER)
        waiting = []
        for hold in holds[3:]:
            assert not hold.try_grow(MAX_ANSWER)
            waiting.append(asyncio.create_task(hold.grow(MAX_ANSWER)))
        await asyncio.sleep(0)
        assert [hold.is_waiting for hold in holds[3:]] == [True] * 3
        # One is closed before it is given room, one after that.
        waiting[0].cancel()
        holds[3].close()
        holds[0].close()
        waiting[1].cancel()
        await asyncio.gather(*waiting[:2], return_exceptions=True)
        holds[4].close()
        await waiting[2]
        holds[5].close()
        assert room.held.used == 2 * MAX_ANSWER

    _run(work())


def test_turns_are_given_in_order_and_survive_answers_that_leave() -> None:
    async def work() -> None:
        turns = holding.Turns()
        order: list[int] = []

        async def take(number: int) -> None:
            await turns.take()
            order.append(number)

        taking = [asyncio.create_task(take(number)) for number in range(4)]
        await asyncio.sleep(0)
        taking[1].cancel()
        turns.pause(0.01)
        await asyncio.gather(*taking, return_exceptions=True)
        await take(4)
        assert order == [0, 2, 3, 4]

    _run(work())
