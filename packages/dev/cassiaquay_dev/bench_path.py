"""The data path's own cost: what one daemon relays on one core."""

import typing


class PathSettings(typing.NamedTuple):
    """Settings of the measurement."""

    seconds: float = 5.0


async def measure(settings: PathSettings) -> str:
    """Return a table."""
    raise NotImplementedError
