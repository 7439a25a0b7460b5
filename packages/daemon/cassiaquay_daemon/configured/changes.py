"""A text told as one replaced part of an earlier one."""

import typing


class Change(typing.NamedTuple):
    """What is replaced: characters ``start`` to ``end`` by ``part``."""

    start: int
    end: int
    part: str


def difference(before: str, after: str) -> Change:
    """Return the change that turns ``before`` into ``after``."""
    start = _common_prefix(before, after)
    left = min(len(before), len(after)) - start
    same = _common_suffix(before, after, left)
    return Change(start, len(before) - same, after[start : len(after) - same])


def apply(before: str, change: Change) -> str:
    """Return the text after a change."""
    return before[: change.start] + change.part + before[change.end :]


def _common_prefix(one: str, other: str) -> int:
    # By halves: slices are compared in C, characters would be compared in Python.
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[:middle] == other[:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(one: str, other: str, longest: int) -> int:
    low, high = 0, longest
    while low < high:
        middle = (low + high + 1) // 2
        if one[-middle:] == other[-middle:]:
            low = middle
        else:
            high = middle - 1
    return low
