"""Explicit-state model checking: visit every reachable state, breadth first.

A model is an initial state (a ``NamedTuple``), steps that return the states which may
come next, and invariants. The first violation found is one of the shortest.
"""

import collections
import collections.abc
import typing

State = typing.TypeVar("State")


class Step(typing.NamedTuple, typing.Generic[State]):
    """One thing that may happen: its name and the state after it."""

    name: str
    state: State


class Violation(typing.NamedTuple):
    """An invariant that does not hold, and the steps that lead there."""

    invariant: str
    trace: list[str]


class Exploration(typing.NamedTuple):
    """What an exploration found.

    Attributes
    ----------
    states : int
        States visited.
    violation : Violation or None
        The first one met.
    """

    states: int
    violation: Violation | None


def explore(
    initial: State,
    following: collections.abc.Callable[[State], collections.abc.Iterable[Step[State]]],
    broken: collections.abc.Callable[[State], str],
    most_states: int = 2_000_000,
) -> Exploration:
    """Visit all states; stop at the first for which ``broken`` names an invariant.

    Raises
    ------
    RuntimeError
        When there are more than ``most_states``: the verdict would cover only a part.
    """
    parents: dict[State, tuple[State, str] | None] = {initial: None}
    queue = collections.deque([initial])
    while queue:
        state = queue.popleft()
        name = broken(state)
        if name:
            return Exploration(len(parents), Violation(name, _trace(parents, state)))
        for step in following(state):
            if step.state in parents:
                continue
            if len(parents) >= most_states:
                raise RuntimeError(f"more than {most_states} states")
            parents[step.state] = (state, step.name)
            queue.append(step.state)
    return Exploration(len(parents), None)


def _trace(parents: dict[State, tuple[State, str] | None], state: State) -> list[str]:
    names = []
    parent = parents[state]
    while parent is not None:
        state, name = parent
        names.append(name)
        parent = parents[state]
    return names[::-1]
