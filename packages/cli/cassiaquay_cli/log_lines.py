"""Read the daemons' log lines, key=value pairs or JSON, from files."""

import pathlib
import re
import typing

import msgspec

from . import exceptions

# A key and its value: quoted as JSON, or without blanks.
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')


class Line(typing.NamedTuple):
    """One event.

    Attributes
    ----------
    at : float
        Unix seconds, by the clock of its instance.
    instance, event : str
        Who wrote it, and what happened.
    fields : dict of str to str
        All other pairs.
    """

    at: float
    instance: str
    event: str
    fields: dict[str, str]


def parse(text: str) -> Line | None:
    """Return the event of a line; None where the line is none.

    Whatever stands before the first pair, as a collector of logs puts it there, is
    passed over.
    """
    begin = text.find("{")
    found = _of_json(text[begin:]) if begin >= 0 and "at=" not in text[:begin] else None
    if found is None:
        found = _of_pairs(text)
    if "at" not in found or "event" not in found:
        return None
    try:
        at = float(found.pop("at"))
    except ValueError:
        return None
    return Line(at, found.pop("instance", ""), found.pop("event"), found)


def read(paths: typing.Iterable[str]) -> list[Line]:
    """Return the events of files in order of time."""
    lines = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(errors="replace")
        except OSError as error:
            raise exceptions.FileUnreadable(f"{path}: {error}") from error
        for item in text.splitlines():
            line = parse(item)
            if line is not None:
                lines.append(line)
    lines.sort(key=lambda line: line.at)
    return lines


def _of_json(text: str) -> dict[str, str] | None:
    try:
        found = msgspec.json.decode(text)
    except msgspec.DecodeError:
        return None
    if not isinstance(found, dict):
        return None
    return {str(key): str(value) for key, value in found.items() if value is not None}


def _of_pairs(text: str) -> dict[str, str]:
    found: dict[str, str] = {}
    for key, value in _PAIR.findall(text):
        if value.startswith('"'):
            try:
                value = str(msgspec.json.decode(value))
            except msgspec.DecodeError:
                # Cut off in the middle: what is there is still of use.
                value = value[1:]
        found.setdefault(key, value)
    return found
