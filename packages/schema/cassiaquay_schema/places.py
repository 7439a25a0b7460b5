"""Locates values of a text that do not fit the schema.

msgspec reports entries of a table as ``[...]``, without their key. After it has refused
a text, the key of the faulty entry is found by converting the entries one by one.
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
    """The error of a value, its dotted path and a description of accepted values."""

    message: str
    place: str
    accepted: str


def fault(error: msgspec.ValidationError, values: object, shape: type) -> Fault:
    """Return the fault that an error of msgspec describes.

    Parameters
    ----------
    error : msgspec.ValidationError
        Error of the conversion of ``values`` to ``shape``.
    values : object
        The decoded text.
    shape : type
        Class that the text should fit.
    """
    message, place = _split_path(error)
    place = _fill_in_keys(place, values, shape)
    accepted = ""
    keyed = KEYED.match(message)
    if message.startswith("Expected "):
        accepted = message.removeprefix("Expected ").split(", got")[0]
    elif keyed is not None:
        kind = _type_at(place, shape)
        place = _join_path(place, _quote_key(keyed["key"]))
        accepted = f"the keys {', '.join(_list_keys(kind))}"
    return Fault(message, place, accepted or "see docs/CONFIGURATION.md")


def shape_fault(
    error: msgspec.ValidationError, values: object, shape: type
) -> exceptions.ShapeFault:
    """Return the ShapeFault for an error of msgspec."""
    return exceptions.ShapeFault(*fault(error, values, shape))


def _split_path(error: msgspec.ValidationError) -> tuple[str, str]:
    match = MESSAGE.match(str(error))
    if match is None:
        return str(error), ""
    return match["message"], (match["place"] or "").lstrip(".")


def _fill_in_keys(place: str, values: object, shape: typing.Any) -> str:
    """Return a path with each ``[...]`` replaced by the key of the faulty entry."""
    head, mark, _ = place.partition(ANY_ENTRY)
    if not mark:
        return place
    kind = shape
    value = values
    for step in STEP.findall(head):
        kind = _type_of_step(kind, step)
        value = _value_of_step(value, step)
    item_kind = typing.get_args(_strip_annotations(kind))[1]
    if not isinstance(value, dict):
        return place
    for key, item in value.items():
        try:
            msgspec.convert(item, item_kind)
        except msgspec.ValidationError as error:
            inner = _fill_in_keys(_split_path(error)[1], item, item_kind)
            return _join_path(_join_path(head, _quote_key(key)), inner)
    return place


def _type_at(place: str, shape: typing.Any) -> typing.Any:
    """Return the type at a path that contains no ``[...]``."""
    kind = shape
    for step in STEP.findall(place):
        kind = _type_of_step(kind, step.strip('"'))
    return kind


def _type_of_step(kind: typing.Any, step: str) -> typing.Any:
    """Return the type of a field, entry or list item of ``kind``."""
    kind = _strip_annotations(kind)
    arguments = typing.get_args(kind)
    if step.startswith("["):
        return arguments[0]
    if arguments:
        return arguments[1]
    return typing.get_type_hints(kind, include_extras=True)[step]


def _value_of_step(value: object, step: str) -> object:
    if step.startswith("[") and isinstance(value, list):
        return value[int(step[1:-1])]
    if isinstance(value, dict):
        return value.get(step)
    return None


def _strip_annotations(kind: typing.Any) -> typing.Any:
    """Return a type without its ``typing.Annotated`` wrapper."""
    if typing.get_origin(kind) is typing.Annotated:
        return typing.get_args(kind)[0]
    return kind


def _list_keys(kind: typing.Any) -> list[str]:
    return [item.name for item in msgspec.structs.fields(_strip_annotations(kind))]


def _quote_key(key: str) -> str:
    return key if BARE_KEY.match(key) else f'"{key}"'


def _join_path(place: str, rest: str) -> str:
    return f"{place}.{rest}" if place and rest else place or rest
