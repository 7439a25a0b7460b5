"""Bounds of the numbers in what the platform and its other writers send.

JSON numbers have no bound, but messages between instances carry 64 bits.
"""

import typing

import msgspec

MAX_COUNT = 2**63 - 1
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
# A thousand years.
MAX_MILLISECONDS = 2**45
Milliseconds = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)
]

# Of a configured time in ms, rate, number of tokens or rank: 35 years, and small enough
# that sums and products of a few still have 64 bits.
MAX_CONFIGURED = 2**40


def clamp_fields(item: msgspec.Struct) -> None:
    """Replace each configured number of an item by the nearest one within the bound.

    A configuration with a number that is too large to mean anything must still come
    into force.
    """
    for name in item.__struct_fields__:
        value = getattr(item, name)
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            bounded = max(-MAX_CONFIGURED, min(value, MAX_CONFIGURED))
            setattr(item, name, bounded)


def clamp(number: int) -> int:
    """Return the nearest number that messages between instances can carry.

    Numbers beyond the bound become equal, so that what they label is ordered by its
    place in the platform's history instead.
    """
    return max(-MAX_COUNT, min(number, MAX_COUNT))
