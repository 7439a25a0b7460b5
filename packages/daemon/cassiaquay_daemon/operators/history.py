"""Recent events and refusals of one instance, in a bounded buffer, for operators."""

import collections
import logging
import time
import typing

Field = str | int | float | bool | list[str] | None

# Events of every request, or of each one at a silent server, are counted in metrics
# instead: they would fill the buffer within seconds.
EXCLUDED_EVENTS = frozenset(
    {
        "dispatch",
        "ended",
        "relay",
        "relayed",
        "server_answered",
        "server_quiet",
        "wasted",
    }
)
# Attributes of a log record that are not fields of the event.
_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}
# Ids and targets are as long as a client's head.
MAX_FIELD_CHARACTERS = 1000
# Types of fields that JSON encodes as they are.
_PLAIN_TYPES = (str, int, float, bool)


class Event(typing.TypedDict):
    """A logged event or a refusal at one instance.

    Attributes
    ----------
    at : float
        Wall-clock time in Unix seconds.
    name : str
        Name of the event; ``refused`` for a request that did not complete.
    alarm : bool
        Whether it needs an operator's attention.
    team : str
        Team concerned, or empty.
    fields : dict
        The fields of the log line.
    """

    at: float
    name: str
    alarm: bool
    team: str
    fields: dict[str, Field]


class History(logging.Handler):
    """Log handler that retains the last events and counts alarms.

    Parameters
    ----------
    limit : int
        Number of events retained.
    """

    def __init__(self, limit: int):
        super().__init__(logging.INFO)
        self.alarms: collections.Counter[str] = collections.Counter()
        self._events: collections.deque[Event] = collections.deque(maxlen=limit)

    def emit(self, record: logging.LogRecord) -> None:
        """Retain a log record as an event."""
        name = record.getMessage()
        alarm = record.levelno >= logging.WARNING
        if alarm:
            self.alarms[name] += 1
        if name in EXCLUDED_EVENTS:
            return
        fields: dict[str, Field] = {}
        for key, value in vars(record).items():
            if key not in _STANDARD_ATTRIBUTES:
                fields[key] = _encodable(value)
        team = str(fields.get("team", ""))
        self._events.append(
            Event(at=record.created, name=name, alarm=alarm, team=team, fields=fields)
        )

    def add_refusal(self, team: str, **fields: Field) -> None:
        """Retain a refusal with its reason."""
        self._events.append(
            Event(
                at=time.time(),
                name="refused",
                alarm=False,
                team=team,
                fields={
                    "team": team,
                    **{name: _encodable(value) for name, value in fields.items()},
                },
            )
        )

    def recent(self, limit: int, team: str = "") -> list[Event]:
        """Return the last events, newest first; only those of ``team`` when given."""
        events: list[Event] = []
        for event in reversed(self._events):
            if len(events) >= limit:
                break
            if team and event["team"] != team:
                continue
            events.append(event)
        return events


def _encodable(value: object) -> Field:
    if isinstance(value, str):
        return value[:MAX_FIELD_CHARACTERS]
    # A field may hold any object that a log line can format. One that JSON cannot
    # encode must not make the whole history unreadable.
    if value is None or isinstance(value, _PLAIN_TYPES):
        return value
    if isinstance(value, list | tuple | set | frozenset):
        return [str(item) for item in value]
    return str(value)
