"""Compares two fleet texts value by value."""

import typing

import msgspec

from cassiaquay_schema import fleet

Path = tuple[str, ...]


class Difference(typing.NamedTuple):
    """One changed value.

    Attributes
    ----------
    place : str
        Dotted path of the value.
    before, after : str
        Old and new value as JSON; empty where the path does not exist.
    """

    place: str
    before: str
    after: str


def compare(old: fleet.Fleet, new: fleet.Fleet) -> list[Difference]:
    """Return the differences, sorted by path."""
    before = dict(_leaf_values((), msgspec.to_builtins(old)))
    after = dict(_leaf_values((), msgspec.to_builtins(new)))
    differences = []
    for path in sorted(before.keys() | after.keys()):
        if before.get(path) == after.get(path):
            continue
        place = ".".join(path)
        differences.append(Difference(place, before.get(path, ""), after.get(path, "")))
    return differences


def _leaf_values(path: Path, value: object) -> typing.Iterator[tuple[Path, str]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _leaf_values((*path, str(key)), item)
        return
    if isinstance(value, list) and value and isinstance(value[0], dict):
        for index, item in enumerate(value):
            name = item.get("name", str(index))
            yield from _leaf_values((*path, str(name)), item)
        return
    yield path, msgspec.json.encode(value).decode()
