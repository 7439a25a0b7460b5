"""A model of the ownership rules, small enough to visit every state of it.

One application call, marked non-idempotent, tries up to two ids of one owner. The
network may delay, reorder and repeat every message for ever: a message once sent stays
deliverable. The owner may die and come back as another incarnation at any moment; time
may pass the token's expiry at any moment; the keeper's permits come at any moment.

Each rule of the owner that the promises rest on can be left out by name, see `RULES`;
the tests show that each one is needed.
"""

import typing

from . import explorer

IDS = (0, 1)

# States of an id in the owner's table.
ABSENT = "absent"
WAITING = "waiting"
CONNECTING = "connecting"
DISPATCHED = "dispatched"
FINISHED = "finished"
REFUSED = "refused"

# What a caller has been told of an id.
NOTHING = "nothing"
NOT_RUN = "not_run"
UNKNOWN = "outcome_unknown"
COMPLETED = "completed"

RULES = (
    "incarnation named in the id",
    "looks again before the first byte",
    "never unmarks a dispatch",
    "keeps entries until the token expires",
    "first seen after expiry is unknown",
    "a refused id stays refused",
    "cancelling an unseen id closes it",
    "a new id only after not run",
    "an unreachable owner is unknown",
)


class World(typing.NamedTuple):
    """A state of everything.

    Attributes
    ----------
    table : tuple of str
        The owner's table by id.
    runs : tuple of int
        Dispatches that back ends saw, by id.
    told : tuple of str
        What the caller has been told, by id.
    posted, cancelled : tuple of bool
        Whether a POST or cancel of the id is on the network, to be delivered at any
        moment and any number of times.
    expired : bool
        Whether the ids' token has expired.
    reborn : bool
        Whether the owner has died and come back as another incarnation.
    """

    table: tuple[str, ...] = (ABSENT, ABSENT)
    runs: tuple[int, ...] = (0, 0)
    told: tuple[str, ...] = (NOTHING, NOTHING)
    posted: tuple[bool, ...] = (False, False)
    cancelled: tuple[bool, ...] = (False, False)
    expired: bool = False
    reborn: bool = False


Steps = typing.Iterator[explorer.Step[World]]


class Ownership:
    """The model with some of its rules left out.

    Parameters
    ----------
    without : str
        A rule of `RULES` that the owner or caller does not follow; empty for none.
    """

    def __init__(self, without: str = ""):
        if without and without not in RULES:
            raise ValueError(f"no rule {without!r}")
        self._without = without

    def check(self) -> explorer.Exploration:
        """Visit all states."""
        return explorer.explore(World(), self.following, broken)

    def following(self, world: World) -> Steps:
        """Return all that may happen next."""
        for number in IDS:
            yield from self._caller(world, number)
            yield from self._arrivals(world, number)
            yield from self._owner(world, number)
        if not world.expired:
            yield explorer.Step("the token expires", world._replace(expired=True))
        if not world.reborn:
            born = world._replace(table=World().table, reborn=True)
            yield explorer.Step("the owner dies and is replaced", born)

    def _follows(self, rule: str) -> bool:
        return rule != self._without

    def _caller(self, world: World, number: int) -> Steps:
        if not world.posted[number] and self._may_use(world, number):
            posted = _put(world.posted, number, True)
            yield explorer.Step(f"POST {number}", world._replace(posted=posted))
        if world.posted[number] and not world.cancelled[number]:
            cancelled = _put(world.cancelled, number, True)
            yield explorer.Step(f"cancel {number}", world._replace(cancelled=cancelled))

    def _may_use(self, world: World, number: int) -> bool:
        if number == 0:
            return True
        if self._follows("a new id only after not run"):
            return world.told[0] == NOT_RUN
        return world.told[0] in (NOT_RUN, UNKNOWN)

    def _arrivals(self, world: World, number: int) -> Steps:
        """Deliver messages: at the incarnation named in the id, or elsewhere."""
        mine = not world.reborn or not self._follows("incarnation named in the id")
        if world.posted[number]:
            if mine:
                yield from self._post(world, number)
            yield from self._elsewhere(world, number)
        if world.cancelled[number] and mine:
            yield from self._cancel(world, number)

    def _post(self, world: World, number: int) -> Steps:
        state = world.table[number]
        if state == REFUSED and not self._follows("a refused id stays refused"):
            state = ABSENT
        if state == ABSENT:
            if world.expired and self._follows("first seen after expiry is unknown"):
                yield _notify(f"expired {number}", world, number, UNKNOWN)
                return
            yield _move(f"{number} is accepted", world, number, WAITING)
            refused = _move(f"{number} is shed", world, number, REFUSED)
            yield _notify(refused.name, refused.state, number, NOT_RUN)
            return
        if state == REFUSED:
            yield _notify(f"{number} stays refused", world, number, NOT_RUN)
        if state == FINISHED:
            yield _notify(f"{number} is answered", world, number, COMPLETED)

    def _elsewhere(self, world: World, number: int) -> Steps:
        """Let an instance that cannot reach the owner look at the back ends."""
        if world.runs[number]:
            yield _notify(f"{number} is found at an engine", world, number, COMPLETED)
        told = UNKNOWN if self._follows("an unreachable owner is unknown") else NOT_RUN
        yield _notify(f"{number} is found nowhere", world, number, told)

    def _cancel(self, world: World, number: int) -> Steps:
        state = world.table[number]
        if state in (WAITING, CONNECTING):
            refused = _move(f"{number} is cancelled", world, number, REFUSED)
            yield _notify(refused.name, refused.state, number, NOT_RUN)
        if state == DISPATCHED:
            yield _notify(f"{number} is cancelled late", world, number, UNKNOWN)
        if state == ABSENT and not world.expired:
            closed = REFUSED
            if not self._follows("cancelling an unseen id closes it"):
                closed = ABSENT
            refused = _move(f"{number} is cancelled unseen", world, number, closed)
            yield _notify(refused.name, refused.state, number, NOT_RUN)

    def _owner(self, world: World, number: int) -> Steps:
        state = world.table[number]
        if state == WAITING:
            yield _move(f"{number} has a permit, connects", world, number, CONNECTING)
            refused = _move(f"{number} is shed waiting", world, number, REFUSED)
            yield _notify(refused.name, refused.state, number, NOT_RUN)
        if state == CONNECTING:
            yield _move(f"{number} cannot connect", world, number, WAITING)
            yield _dispatch(world, number, DISPATCHED)
        if state == REFUSED and not self._follows("looks again before the first byte"):
            yield _dispatch(world, number, REFUSED)
        if state == DISPATCHED:
            yield _move(f"{number} ends", world, number, FINISHED)
            yield _notify(f"{number} breaks off", world, number, UNKNOWN)
            if not self._follows("never unmarks a dispatch"):
                yield _move(f"{number} is tried again", world, number, WAITING)
        if state in (FINISHED, REFUSED):
            keeps = self._follows("keeps entries until the token expires")
            if world.expired or not keeps:
                yield _move(f"{number} is dropped", world, number, ABSENT)


def broken(world: World) -> str:
    """Return the name of the first promise that does not hold, or nothing."""
    for number in IDS:
        if world.runs[number] > 1:
            return "dispatched at most once"
        if world.told[number] == NOT_RUN and world.runs[number]:
            return "not run means that it did not run"
        if world.told[number] == COMPLETED and not world.runs[number]:
            return "completed means that it ran"
    if sum(world.runs) > 1:
        return "a non-idempotent call runs at most once"
    return ""


def _put(values: tuple[typing.Any, ...], number: int, value: typing.Any) -> typing.Any:
    return (*values[:number], value, *values[number + 1 :])


def _move(name: str, world: World, number: int, state: str) -> explorer.Step[World]:
    return explorer.Step(name, world._replace(table=_put(world.table, number, state)))


def _notify(name: str, world: World, number: int, word: str) -> explorer.Step[World]:
    # The first word stands: callers act on it.
    if world.told[number] != NOTHING:
        return explorer.Step(name, world)
    return explorer.Step(name, world._replace(told=_put(world.told, number, word)))


def _dispatch(world: World, number: int, state: str) -> explorer.Step[World]:
    runs = _put(world.runs, number, min(world.runs[number] + 1, 2))
    table = _put(world.table, number, state)
    return explorer.Step(
        f"{number} is dispatched", world._replace(runs=runs, table=table)
    )
