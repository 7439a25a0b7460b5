"""Parses the daemons' log files, whose lines are key=value pairs or JSON."""

import pathlib
import re
import typing

import msgspec

from . import exceptions

# A key and its value, which is either a JSON string or has no spaces.
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')


class Line(typing.NamedTuple):
    """One logged event.

    Attributes
    ----------
    at : float
        Unix seconds, by the clock of the instance.
    instance, event : str
        Names of the instance that wrote the line and of the event.
    fields : dict of str to str
        All other pairs.
    """

    at: float
    instance: str
    event: str
    fields: dict[str, str]


def parse(text: str) -> Line | None:
    """Return the event of a line; None when the line is not a log event.

    Text before the first pair is skipped, as log collectors add prefixes.
    """
    start = text.find("{")
    pairs = (
        _parse_json(text[start:]) if start >= 0 and "at=" not in text[:start] else None
    )
    if pairs is None:
        pairs = _parse_pairs(text)
    if "at" not in pairs or "event" not in pairs:
        return None
    try:
        at = float(pairs.pop("at"))
    except ValueError:
        return None
    return Line(at, pairs.pop("instance", ""), pairs.pop("event"), pairs)


def read(paths: typing.Iterable[str]) -> list[Line]:
    """Return the events of all files, sorted by time."""
    lines = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            raise exceptions.FileUnreadable(f"{path}: {error}") from error
        for item in text.split("\n"):
            line = parse(item)
            if line is not None:
                lines.append(line)
    lines.sort(key=lambda line: line.at)
    return lines


def _parse_json(text: str) -> dict[str, str] | None:
    try:
        pairs = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return None
    if not isinstance(pairs, dict):
        return None
    return {str(key): str(value) for key, value in pairs.items() if value is not None}


def _parse_pairs(text: str) -> dict[str, str]:
    pairs: dict[str, str] = {}
    for key, value in _PAIR.findall(text):
        if value.startswith('"'):
            try:
                value = str(msgspec.json.decode(value))
            except msgspec.DecodeError:
                # The string was truncated: keep the part that is there.
                value = value[1:]
        pairs.setdefault(key, value)
    return pairs
