"""Recent events and refusals of one instance, in a ring, for operators."""

import collections
import logging
import time
import typing

Field = str | int | float | bool | list[str] | None

# What happens with every request is in the metrics; a ring of it would hold seconds.
LEFT_OUT = frozenset({"dispatch", "ended", "wasted"})
# What a log record carries besides the fields of its event.
_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class Event(typing.TypedDict):
    """Something that happened at one instance.

    Attributes
    ----------
    at : float
        Wall-clock second.
    name : str
        Name of the event; ``refused`` for a request that did not complete.
    alarm : bool
        Whether an operator should look at it.
    team : str
        Team that it concerns, or empty.
    fields : dict
        The fields of its log line.
    """

    at: float
    name: str
    alarm: bool
    team: str
    fields: dict[str, Field]


class History(logging.Handler):
    """The last events, taken from the log as it is written.

    Parameters
    ----------
    limit : int
        Events kept.
    """

    def __init__(self, limit: int):
        super().__init__(logging.INFO)
        self.alarms: collections.Counter[str] = collections.Counter()
        self._events: collections.deque[Event] = collections.deque(maxlen=limit)

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a log record."""
        name = record.getMessage()
        alarm = record.levelno >= logging.WARNING
        if alarm:
            self.alarms[name] += 1
        if name in LEFT_OUT:
            return
        fields: dict[str, Field] = {}
        for key, value in vars(record).items():
            if key not in _STANDARD:
                fields[key] = _plain(value)
        team = str(fields.get("team", ""))
        self._events.append(
            Event(at=record.created, name=name, alarm=alarm, team=team, fields=fields)
        )

    def refused(self, team: str, **fields: Field) -> None:
        """Keep a refusal with its reason."""
        self._events.append(
            Event(
                at=time.time(),
                name="refused",
                alarm=False,
                team=team,
                fields={"team": team, **fields},
            )
        )

    def recent(self, limit: int, team: str = "") -> list[Event]:
        """Return the last events, newest first; those of one team when it is given."""
        found: list[Event] = []
        for event in reversed(self._events):
            if len(found) >= limit:
                break
            if team and event["team"] != team:
                continue
            found.append(event)
        return found


def _plain(value: object) -> Field:
    # An event may carry anything that a log line can show; one that JSON cannot must
    # not keep operators from reading all the others.
    if value is None or isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, list | tuple | set | frozenset):
        return [str(item) for item in value]
    return str(value)
