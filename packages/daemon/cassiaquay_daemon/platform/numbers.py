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


def clamp(number: int) -> int:
    """Return the nearest number that messages between instances can carry.

    Numbers beyond the bound become equal, so that what they label is ordered by its
    place in the platform's history instead.
    """
    return max(-MAX_COUNT, min(number, MAX_COUNT))
