"""Measure the slopes (costs per unit of load) of membership.

Run as ``python -m cassiaquay_dev.sizing.measure_members``.

Writes them to docs/capacity/slopes.toml. The processor time and bytes per heartbeat
come from a run of many idle light instances.
"""

import asyncio
import datetime
import time
import tracemalloc

from cassiaquay_daemon.fleet import facts, members
from cassiaquay_daemon.interface import addresses
from cassiaquay_schema import messages

from . import light, measure_fleet, slopes

MEMBER_COUNT = 380
INSTANCE_COUNT = 200
RESPONSE_COUNT = 200
COMMAND = "python -m cassiaquay_dev.sizing.measure_members"


def member(number: int) -> messages.Member:
    """Return a member as received from a peer."""
    name = f"cq-{number}"
    address = f"10.0.{number // 250}.{number % 250}"
    return messages.Member(
        name,
        f"{number:012x}",
        f"domain-{number % 7}",
        f"{address}:8101",
        f"{address}:8102",
        1,
        False,
        0.0,
        1,
        1.0,
        f"{address}:8103",
        1.0,
    )


def _membership() -> members.Membership:
    membership = light.Light(
        light.settings_of("cq-0"), light.Published(), light.Listing()
    ).membership
    for number in range(1, MEMBER_COUNT):
        membership.learn(member(number))
    return membership


def member_bytes() -> float:
    """Return the bytes of memory per known member."""
    tracemalloc.start()
    known = facts.Facts()
    for number in range(MEMBER_COUNT):
        known.learn(member(number))
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept / MEMBER_COUNT


def address_seconds() -> float:
    """Return the processor time of an address response per known member."""
    membership = _membership()
    settings = light.settings_of("cq-0")
    start = time.process_time()
    for _ in range(RESPONSE_COUNT):
        addresses.answer(settings, membership, "domain-1")
    return (time.process_time() - start) / RESPONSE_COUNT / MEMBER_COUNT


def main() -> None:
    """Measure all slopes of membership and write them to the file."""
    found = asyncio.run(measure_fleet.measure_members(INSTANCE_COUNT, 8))
    period = light.settings_of("cq-0").membership.period
    beats = 2.0 * found.neighbours / period
    values: dict[str, tuple[float, str]] = {
        "heartbeat_seconds": (
            found.core_percent / 100.0 / beats,
            f"{INSTANCE_COUNT} light instances in quiet operation",
        ),
        "heartbeat_wire_bytes": (
            2.0 * found.bytes_per_second / beats,
            f"{INSTANCE_COUNT} light instances in quiet operation, without TCP and IP",
        ),
        "member_bytes": (member_bytes(), ""),
        "address_seconds_per_member": (address_seconds(), ""),
    }
    known = slopes.read()
    today = datetime.date.today()
    for name, (value, note) in values.items():
        rounded = float(f"{value:.3g}")
        known[name] = slopes.Slope(
            value=rounded, command=COMMAND, date=today, note=note
        )
        print(f"{name}={rounded}", flush=True)
    slopes.write(known)


if __name__ == "__main__":
    main()
