"""Difference between two texts, as the replacement of one part."""

import typing


class Change(typing.NamedTuple):
    """The replacement of the characters ``start`` to ``end`` by ``part``."""

    start: int
    end: int
    part: str


def difference(before: str, after: str) -> Change:
    """Return the change that turns ``before`` into ``after``."""
    start = _common_prefix(before, after)
    max_suffix = min(len(before), len(after)) - start
    suffix = _common_suffix(before, after, max_suffix)
    return Change(start, len(before) - suffix, after[start : len(after) - suffix])


def apply(before: str, change: Change) -> str:
    """Return the text after a change."""
    return before[: change.start] + change.part + before[change.end :]


def _common_prefix(first: str, second: str) -> int:
    # Binary search: slices are compared in C, single characters in Python.
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[:middle] == second[:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(first: str, second: str, longest: int) -> int:
    low, high = 0, longest
    while low < high:
        middle = (low + high + 1) // 2
        if first[-middle:] == second[-middle:]:
            low = middle
        else:
            high = middle - 1
    return low
