"""Event hooks: functions called at each attempt, event and outcome.

>>> session.hooks.register("outcome", print)

History checking records a run with them. A hook must not block.
"""

import collections.abc
import typing

ATTEMPT = "attempt"
EVENT = "event"
OUTCOME = "outcome"
NAMES = (ATTEMPT, EVENT, OUTCOME)


class Attempt(typing.NamedTuple):
    """An attempt about to be sent."""

    request_id: str
    address: str
    method: str
    start: int
    """Number of the first event asked for."""
    call: str = ""
    """The same for all ids that serve one call of the application."""
    idempotent: bool = True


class Event(typing.NamedTuple):
    """An event received for the first time."""

    request_id: str
    number: int
    data: str


class Outcome(typing.NamedTuple):
    """An outcome of one id, or what the caller concluded (``source`` "caller")."""

    request_id: str
    outcome: str
    code: str
    source: str


Report = Attempt | Event | Outcome
Hook = collections.abc.Callable[[typing.Any], None]


class Hooks:
    """The hooks of one session."""

    def __init__(self) -> None:
        self._hooks: dict[str, list[Hook]] = {name: [] for name in NAMES}

    def register(self, name: str, hook: Hook) -> None:
        """Call ``hook`` with each report of that name from now on.

        Raises
        ------
        ValueError
            When ``name`` is none of ``NAMES``.
        """
        if name not in self._hooks:
            raise ValueError(f"no hook is named {name!r}; there are {NAMES}")
        self._hooks[name].append(hook)

    def dispatch(self, name: str, report: Report) -> None:
        """Call the hooks of that name in the order they were registered."""
        for hook in self._hooks[name]:
            hook(report)
