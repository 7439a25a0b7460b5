"""Capacities of the instances of a fleet, as the instances state them.

Load pattern: a fleet has instances of several sizes. One with a link of 5 Mbit/s or
half a core cannot carry what one with 100 Mbit/s and most of a core can.
"""

import collections.abc
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

PERMILLE = 1000
KBPS_PER_MBPS = 1000.0


class Capacity(typing.NamedTuple):
    """What an instance may use of its machine.

    Attributes
    ----------
    processor_permille : int
        Thousandths of a core; 0 if not given.
    link_kbps : int
        Rate of its network link in kbit/s; 0 if not given.
    """

    processor_permille: int = 0
    link_kbps: int = 0


def stated(settings: settings_schema.Settings) -> Capacity:
    """Return the capacity that an instance states by its settings."""
    capacity = settings.capacity
    # The event loop runs on one core, so instances with several cores are alike.
    share = min(capacity.processor_share, 1.0)
    return Capacity(round(share * PERMILLE), round(capacity.link_mbps * KBPS_PER_MBPS))


def of(members: collections.abc.Iterable[messages.Member]) -> dict[str, Capacity]:
    """Return the capacities by instance; a missing value counts as the smallest."""
    members = list(members)
    processors = [member.processor_permille for member in members]
    links = [member.link_kbps for member in members]
    least_processor = min(filter(None, processors), default=1)
    least_link = min(filter(None, links), default=1)
    capacities = {}
    for member in members:
        capacities[member.instance] = Capacity(
            member.processor_permille or least_processor,
            member.link_kbps or least_link,
        )
    return capacities
