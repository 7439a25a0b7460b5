"""Reads and writes the measured slopes from which docs/CAPACITY.md is computed.

A slope is the cost per unit of load. ``docs/capacity/slopes.toml`` has one table for
each measured slope and none for the others. :data:`DEFINITIONS` gives the unit and the
meaning of every slope.
"""

import datetime
import json
import pathlib
import tomllib
import typing

import msgspec

PATH = pathlib.Path(__file__).parents[4] / "docs" / "capacity" / "slopes.toml"


class Definition(typing.NamedTuple):
    """Unit and meaning of a slope."""

    unit: str
    text: str


class Slope(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One measured slope.

    Attributes
    ----------
    value : float
        Value in the unit given in :data:`DEFINITIONS`.
    command : str
        Command that measured the value, run from the root of the repository.
    date : date
        Date of the measurement.
    note : str
        Limitation of the measurement, if any.
    """

    value: typing.Annotated[float, msgspec.Meta(ge=0)]
    command: typing.Annotated[str, msgspec.Meta(min_length=1)]
    date: datetime.date
    note: str = ""


DEFINITIONS: dict[str, Definition] = {
    "base_bytes": Definition("bytes", "resident memory of an idle daemon"),
    "owner_seconds_per_request": Definition(
        "core s / request", "the owner's work for one request without its events"
    ),
    "owner_seconds_per_event": Definition(
        "core s / event", "the owner's work for one streamed event (token)"
    ),
    "owner_bytes_per_entry": Definition(
        "bytes / entry", "one entry of the owner's table without its answer"
    ),
    "owner_bytes_per_event": Definition("bytes / event", "one kept event of an answer"),
    "keeper_seconds_per_demand": Definition(
        "core s / demand", "the keeper's work for demand, permit and release"
    ),
    "keeper_seconds_per_full_pass": Definition(
        "core s / pass", "one look at a queue of 300 of which nothing fits"
    ),
    "keeper_bytes_per_demand": Definition(
        "bytes / demand", "one waiting or running demand at the keeper"
    ),
    "keeper_wire_bytes_per_demand": Definition(
        "bytes / demand", "demand, permit and release on the wire"
    ),
    "renewal_seconds_per_item": Definition(
        "core s / item", "one outstanding request in one renewal, both sides"
    ),
    "renewal_wire_bytes_per_item": Definition(
        "bytes / item", "one outstanding request in one renewal"
    ),
    "heartbeat_seconds": Definition(
        "core s / heartbeat", "to make, send or take in one heartbeat with its gossip"
    ),
    "heartbeat_wire_bytes": Definition(
        "bytes / heartbeat", "one heartbeat with its gossip on the wire"
    ),
    "member_bytes": Definition("bytes / member", "one known member"),
    "address_seconds_per_member": Definition(
        "core s / member", "one address answer, for each known member"
    ),
    "configuration_seconds_per_team": Definition(
        "core s / team", "to read, check and index one team of the fleet text"
    ),
    "configuration_text_bytes_per_team": Definition(
        "bytes / team", "one team in the fleet text"
    ),
    "configuration_change_wire_bytes": Definition(
        "bytes / change", "a change of one team told to one neighbour"
    ),
    "configuration_bytes_per_team": Definition(
        "bytes / team", "one team in a configuration in memory"
    ),
    "configuration_spread_seconds_per_hop": Definition(
        "s / hop", "from one instance's acceptance to its neighbour's"
    ),
    "prefix_bytes_per_block": Definition(
        "bytes / block", "one block of one engine in a keeper's prefix index"
    ),
    "relay_seconds_per_request": Definition(
        "core s / request", "to pass one request on to its owner"
    ),
    "metric_seconds_per_request": Definition(
        "core s / request", "counting one request: metrics, burn windows, history"
    ),
    "burn_bytes_per_cell": Definition(
        "bytes / cell", "one service, tier, team and engine in one window bucket"
    ),
}


def read(path: pathlib.Path = PATH) -> dict[str, Slope]:
    """Return the measured slopes; raise ValueError for an undefined name."""
    found = msgspec.convert(tomllib.loads(path.read_text()), dict[str, Slope])
    for name in found:
        if name not in DEFINITIONS:
            raise ValueError(f"{path.name}: no slope named {name!r}")
    return found


def write(found: dict[str, Slope], path: pathlib.Path = PATH) -> None:
    """Write the measured slopes and keep the comment at the head of the file."""
    head = []
    for line in path.read_text().splitlines():
        if not line.startswith("#"):
            break
        head.append(line)
    parts = ["\n".join(head)]
    for name in DEFINITIONS:
        if name not in found:
            continue
        slope = found[name]
        lines = [f"[{name}]", f"value = {slope.value!r}"]
        lines += [f"command = {json.dumps(slope.command)}", f"date = {slope.date}"]
        if slope.note:
            lines.append(f"note = {json.dumps(slope.note)}")
        parts.append("\n".join(lines))
    path.write_text("\n\n".join(parts) + "\n")
