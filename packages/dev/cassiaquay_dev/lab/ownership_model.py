"""A model of the ownership rules, small enough for exhaustive exploration.

The owner is the instance that accepts a request, and is named in the request's id. One
non-idempotent application call tries up to two ids of one owner. The network may delay,
reorder and repeat messages without limit: a message that was sent stays deliverable.
At any moment the owner may crash and restart as another incarnation, the token in the
ids may expire, and the keeper may grant a permit.

Each rule that the guarantees depend on can be disabled by name, see `RULES`; the tests
show that disabling any of them leads to a violation.
"""

import typing

from . import explorer

IDS = (0, 1)

# States of an id in the owner's request table; ABSENT when it has no entry.
ABSENT = "absent"
WAITING = "waiting"
CONNECTING = "connecting"
DISPATCHED = "dispatched"
FINISHED = "finished"
REFUSED = "refused"

# Outcome of an id that was reported to the caller.
NO_REPORT = "nothing"
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


class SystemState(typing.NamedTuple):
    """A state of the caller, the network, the owner and the back ends.

    Attributes
    ----------
    table : tuple of str
        State of each id in the owner's table.
    runs : tuple of int
        Number of dispatches that reached a back end, by id; counted up to 2.
    reported : tuple of str
        Outcome reported to the caller, by id.
    posted, cancelled : tuple of bool
        Whether a POST or cancel of the id was sent; from then on the network may
        deliver it at any moment and any number of times.
    expired : bool
        Whether the ids' token has expired.
    replaced : bool
        Whether the owner was replaced by another incarnation.
    """

    table: tuple[str, ...] = (ABSENT, ABSENT)
    runs: tuple[int, ...] = (0, 0)
    reported: tuple[str, ...] = (NO_REPORT, NO_REPORT)
    posted: tuple[bool, ...] = (False, False)
    cancelled: tuple[bool, ...] = (False, False)
    expired: bool = False
    replaced: bool = False


Steps = typing.Iterator[explorer.Step[SystemState]]


class Ownership:
    """The model, optionally with one rule disabled.

    Parameters
    ----------
    without : str
        Rule of `RULES` that the owner or caller does not follow; empty for none.
    """

    def __init__(self, without: str = ""):
        if without and without not in RULES:
            raise ValueError(f"no rule {without!r}")
        self._without = without

    def check(self) -> explorer.Exploration:
        """Explore all states."""
        return explorer.explore(SystemState(), self.successors, violated_invariant)

    def successors(self, system: SystemState) -> Steps:
        """Yield all possible next steps of a state."""
        for number in IDS:
            yield from self._caller_steps(system, number)
            yield from self._deliveries(system, number)
            yield from self._owner_steps(system, number)
        if not system.expired:
            yield explorer.Step("the token expires", system._replace(expired=True))
        if not system.replaced:
            after_restart = system._replace(table=SystemState().table, replaced=True)
            yield explorer.Step("the owner dies and is replaced", after_restart)

    def _follows(self, rule: str) -> bool:
        return rule != self._without

    def _caller_steps(self, system: SystemState, number: int) -> Steps:
        if not system.posted[number] and self._may_post(system, number):
            posted = _with_item(system.posted, number, True)
            yield explorer.Step(f"POST {number}", system._replace(posted=posted))
        if system.posted[number] and not system.cancelled[number]:
            cancelled = _with_item(system.cancelled, number, True)
            yield explorer.Step(
                f"cancel {number}", system._replace(cancelled=cancelled)
            )

    def _may_post(self, system: SystemState, number: int) -> bool:
        if number == 0:
            return True
        if self._follows("a new id only after not run"):
            return system.reported[0] == NOT_RUN
        return system.reported[0] in (NOT_RUN, UNKNOWN)

    def _deliveries(self, system: SystemState, number: int) -> Steps:
        """Deliver messages to the incarnation named in the id, or elsewhere."""
        at_owner = not system.replaced or not self._follows(
            "incarnation named in the id"
        )
        if system.posted[number]:
            if at_owner:
                yield from self._deliver_post(system, number)
            yield from self._deliver_elsewhere(system, number)
        if system.cancelled[number] and at_owner:
            yield from self._deliver_cancel(system, number)

    def _deliver_post(self, system: SystemState, number: int) -> Steps:
        state = system.table[number]
        if state == REFUSED and not self._follows("a refused id stays refused"):
            state = ABSENT
        if state == ABSENT:
            if system.expired and self._follows("first seen after expiry is unknown"):
                yield _report(f"expired {number}", system, number, UNKNOWN)
                return
            yield _set_entry(f"{number} is accepted", system, number, WAITING)
            refused = _set_entry(f"{number} is shed", system, number, REFUSED)
            yield _report(refused.name, refused.state, number, NOT_RUN)
            return
        if state == REFUSED:
            yield _report(f"{number} stays refused", system, number, NOT_RUN)
        if state == FINISHED:
            yield _report(f"{number} is answered", system, number, COMPLETED)

    def _deliver_elsewhere(self, system: SystemState, number: int) -> Steps:
        """Deliver a POST to an instance that cannot reach the owner.

        It looks the id up at the back ends and reports what it finds.
        """
        if system.runs[number]:
            yield _report(f"{number} is found at an engine", system, number, COMPLETED)
        reported = (
            UNKNOWN if self._follows("an unreachable owner is unknown") else NOT_RUN
        )
        yield _report(f"{number} is found nowhere", system, number, reported)

    def _deliver_cancel(self, system: SystemState, number: int) -> Steps:
        state = system.table[number]
        if state in (WAITING, CONNECTING):
            refused = _set_entry(f"{number} is cancelled", system, number, REFUSED)
            yield _report(refused.name, refused.state, number, NOT_RUN)
        if state == DISPATCHED:
            yield _report(f"{number} is cancelled late", system, number, UNKNOWN)
        if state == ABSENT and not system.expired:
            entry = REFUSED
            if not self._follows("cancelling an unseen id closes it"):
                entry = ABSENT
            refused = _set_entry(f"{number} is cancelled unseen", system, number, entry)
            yield _report(refused.name, refused.state, number, NOT_RUN)

    def _owner_steps(self, system: SystemState, number: int) -> Steps:
        state = system.table[number]
        if state == WAITING:
            yield _set_entry(
                f"{number} has a permit, connects", system, number, CONNECTING
            )
            refused = _set_entry(f"{number} is shed waiting", system, number, REFUSED)
            yield _report(refused.name, refused.state, number, NOT_RUN)
        if state == CONNECTING:
            yield _set_entry(f"{number} cannot connect", system, number, WAITING)
            yield _dispatch(system, number, DISPATCHED)
        if state == REFUSED and not self._follows("looks again before the first byte"):
            yield _dispatch(system, number, REFUSED)
        if state == DISPATCHED:
            yield _set_entry(f"{number} ends", system, number, FINISHED)
            yield _report(f"{number} breaks off", system, number, UNKNOWN)
            if not self._follows("never unmarks a dispatch"):
                yield _set_entry(f"{number} is tried again", system, number, WAITING)
        if state in (FINISHED, REFUSED):
            keeps = self._follows("keeps entries until the token expires")
            if system.expired or not keeps:
                yield _set_entry(f"{number} is dropped", system, number, ABSENT)


def violated_invariant(system: SystemState) -> str:
    """Return the first guarantee that a state violates, or an empty string."""
    for number in IDS:
        if system.runs[number] > 1:
            return "dispatched at most once"
        if system.reported[number] == NOT_RUN and system.runs[number]:
            return "not run means that it did not run"
        if system.reported[number] == COMPLETED and not system.runs[number]:
            return "completed means that it ran"
    if sum(system.runs) > 1:
        return "a non-idempotent call runs at most once"
    return ""


def _with_item(
    values: tuple[typing.Any, ...], number: int, value: typing.Any
) -> typing.Any:
    return (*values[:number], value, *values[number + 1 :])


def _set_entry(
    name: str, system: SystemState, number: int, state: str
) -> explorer.Step[SystemState]:
    return explorer.Step(
        name, system._replace(table=_with_item(system.table, number, state))
    )


def _report(
    name: str, system: SystemState, number: int, outcome: str
) -> explorer.Step[SystemState]:
    # The first report is final, since the caller acts on it.
    if system.reported[number] != NO_REPORT:
        return explorer.Step(name, system)
    return explorer.Step(
        name, system._replace(reported=_with_item(system.reported, number, outcome))
    )


def _dispatch(
    system: SystemState, number: int, state: str
) -> explorer.Step[SystemState]:
    runs = _with_item(system.runs, number, min(system.runs[number] + 1, 2))
    table = _with_item(system.table, number, state)
    return explorer.Step(
        f"{number} is dispatched", system._replace(runs=runs, table=table)
    )
