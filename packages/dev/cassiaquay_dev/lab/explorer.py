"""Explicit-state model checking by breadth-first search of all reachable states.

A model consists of an initial state (a ``NamedTuple``), a function that returns the
possible transitions of a state, and invariants. The search order makes the trace of
the first violation a shortest one.
"""

import collections
import collections.abc
import typing

State = typing.TypeVar("State")


class Step(typing.NamedTuple, typing.Generic[State]):
    """A transition: its name and the state after it."""

    name: str
    state: State


class Violation(typing.NamedTuple):
    """A violated invariant and the names of the steps from the initial state to it."""

    invariant: str
    trace: list[str]


class Exploration(typing.NamedTuple):
    """Result of an exploration.

    Attributes
    ----------
    states : int
        Number of distinct states reached.
    violation : Violation or None
        The first violation found, if any.
    """

    states: int
    violation: Violation | None


def explore(
    initial: State,
    successors: collections.abc.Callable[
        [State], collections.abc.Iterable[Step[State]]
    ],
    violated_invariant: collections.abc.Callable[[State], str],
    max_states: int = 2_000_000,
) -> Exploration:
    """Explore all states; stop at the first that violates an invariant.

    ``violated_invariant`` returns the name of an invariant, or an empty string.

    Raises
    ------
    RuntimeError
        When there are more than ``max_states``, since the result would be incomplete.
    """
    parents: dict[State, tuple[State, str] | None] = {initial: None}
    queue = collections.deque([initial])
    while queue:
        state = queue.popleft()
        name = violated_invariant(state)
        if name:
            return Exploration(len(parents), Violation(name, _trace(parents, state)))
        for step in successors(state):
            if step.state in parents:
                continue
            if len(parents) >= max_states:
                raise RuntimeError(f"more than {max_states} states")
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
