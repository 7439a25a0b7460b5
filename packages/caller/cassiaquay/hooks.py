"""Event hooks: functions called at each attempt, event and outcome.

>>> session.hooks.register("outcome", print)

Test runs use them to record histories for checking. Hooks run on the event loop and
must not block.
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
    """Number of the first event requested."""
    call: str = ""
    """Shared by all request ids of one call of the application."""
    idempotent: bool = True


class Event(typing.NamedTuple):
    """An event that was received for the first time."""

    request_id: str
    number: int
    data: str


class Outcome(typing.NamedTuple):
    """The outcome of one id, by an instance or by the caller (see ``source``)."""

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
        """Call ``hook`` with each later report of that name.

        Raises
        ------
        ValueError
            When ``name`` is not in ``NAMES``.
        """
        if name not in self._hooks:
            raise ValueError(f"no hook is named {name!r}; there are {NAMES}")
        self._hooks[name].append(hook)

    def dispatch(self, name: str, report: Report) -> None:
        """Call the hooks of that name in order of registration."""
        for hook in self._hooks[name]:
            hook(report)
