"""Where in a text a value is that does not fit the schema.

msgspec names the entries of a table ``[...]``; people need the key. The entry is found
by converting the entries one by one, only after the whole has been refused.
"""

import re
import typing

import msgspec

from . import exceptions

MESSAGE = re.compile(r"^(?P<message>.*?)(?: - at `\$(?P<place>.*)`)?$", re.DOTALL)
KEYED = re.compile(r"Object (?:contains unknown|missing required) field `(?P<key>.+)`")
STEP = re.compile(r'"[^"]*"|[^."\[\]]+|\[\d+\]')
BARE_KEY = re.compile(r"^[A-Za-z0-9_-]+$")
ANY_ENTRY = "[...]"


class Fault(typing.NamedTuple):
    """A value that does not fit: what is wrong, where, and what would do."""

    message: str
    place: str
    accepted: str


def fault(error: msgspec.ValidationError, values: object, shape: type) -> Fault:
    """Return what an error of msgspec means for the text that ``values`` came from."""
    message, place = _split(error)
    place = _named(place, values, shape)
    accepted = ""
    keyed = KEYED.match(message)
    if message.startswith("Expected "):
        accepted = message.removeprefix("Expected ").split(", got")[0]
    elif keyed is not None:
        kind = _kind(place, shape)
        place = _join(place, _quoted(keyed["key"]))
        accepted = f"the keys {', '.join(_keys(kind))}"
    return Fault(message, place, accepted or "see docs/CONFIGURATION.md")


def shape_fault(
    error: msgspec.ValidationError, values: object, shape: type
) -> exceptions.ShapeFault:
    """Return the schema's error for an error of msgspec."""
    return exceptions.ShapeFault(*fault(error, values, shape))


def _split(error: msgspec.ValidationError) -> tuple[str, str]:
    match = MESSAGE.match(str(error))
    if match is None:
        return str(error), ""
    return match["message"], (match["place"] or "").lstrip(".")


def _named(place: str, values: object, shape: typing.Any) -> str:
    """Return a place with each ``[...]`` replaced by the key of the faulty entry."""
    head, mark, _ = place.partition(ANY_ENTRY)
    if not mark:
        return place
    kind = shape
    value = values
    for step in STEP.findall(head):
        kind = _inside(kind, step)
        value = _value(value, step)
    item_kind = typing.get_args(_plain(kind))[1]
    if not isinstance(value, dict):
        return place
    for key, item in value.items():
        try:
            msgspec.convert(item, item_kind)
        except msgspec.ValidationError as error:
            inner = _named(_split(error)[1], item, item_kind)
            return _join(_join(head, _quoted(key)), inner)
    return place


def _kind(place: str, shape: typing.Any) -> typing.Any:
    """Return the type at a place that names its keys."""
    kind = shape
    for step in STEP.findall(place):
        kind = _inside(kind, step.strip('"'))
    return kind


def _inside(kind: typing.Any, step: str) -> typing.Any:
    """Return the type one step further in."""
    kind = _plain(kind)
    arguments = typing.get_args(kind)
    if step.startswith("["):
        return arguments[0]
    if arguments:
        return arguments[1]
    return typing.get_type_hints(kind, include_extras=True)[step]


def _value(value: object, step: str) -> object:
    if step.startswith("[") and isinstance(value, list):
        return value[int(step[1:-1])]
    if isinstance(value, dict):
        return value.get(step)
    return None


def _plain(kind: typing.Any) -> typing.Any:
    """Return a type without its annotations."""
    if typing.get_origin(kind) is typing.Annotated:
        return typing.get_args(kind)[0]
    return kind


def _keys(kind: typing.Any) -> list[str]:
    return [item.name for item in msgspec.structs.fields(_plain(kind))]


def _quoted(key: str) -> str:
    return key if BARE_KEY.match(key) else f'"{key}"'


def _join(place: str, rest: str) -> str:
    return f"{place}.{rest}" if place and rest else place or rest
