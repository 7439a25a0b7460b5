"""The measured slopes that docs/CAPACITY.md is worked out from.

``docs/capacity/slopes.toml`` holds one table for each slope that has been measured;
one that has not been measured is left out there. :data:`KNOWN` says what each means.
"""

import datetime
import json
import pathlib
import tomllib
import typing

import msgspec

PATH = pathlib.Path(__file__).parents[4] / "docs" / "capacity" / "slopes.toml"


class Meaning(typing.NamedTuple):
    """What a slope says, and in which unit."""

    unit: str
    text: str


class Slope(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One measured slope.

    Attributes
    ----------
    value : float
        In the unit of :data:`KNOWN`.
    command : str
        What measured it, to be run from the root of the repository.
    date : date
        Day of the run.
    note : str
        What limits its worth.
    """

    value: typing.Annotated[float, msgspec.Meta(ge=0)]
    command: typing.Annotated[str, msgspec.Meta(min_length=1)]
    date: datetime.date
    note: str = ""


KNOWN: dict[str, Meaning] = {
    "base_bytes": Meaning("bytes", "resident memory of an idle daemon"),
    "owner_seconds_per_request": Meaning(
        "core s / request", "the owner's work for one request without its events"
    ),
    "owner_seconds_per_event": Meaning(
        "core s / event", "the owner's work for one streamed event (token)"
    ),
    "owner_bytes_per_entry": Meaning(
        "bytes / entry", "one entry of the owner's table without its answer"
    ),
    "owner_bytes_per_event": Meaning("bytes / event", "one kept event of an answer"),
    "keeper_seconds_per_demand": Meaning(
        "core s / demand", "the keeper's work for demand, permit and release"
    ),
    "keeper_seconds_per_full_pass": Meaning(
        "core s / pass", "one look at a queue of 300 of which nothing fits"
    ),
    "keeper_bytes_per_demand": Meaning(
        "bytes / demand", "one waiting or running demand at the keeper"
    ),
    "keeper_wire_bytes_per_demand": Meaning(
        "bytes / demand", "demand, permit and release on the wire"
    ),
    "renewal_seconds_per_item": Meaning(
        "core s / item", "one outstanding request in one renewal, both sides"
    ),
    "renewal_wire_bytes_per_item": Meaning(
        "bytes / item", "one outstanding request in one renewal"
    ),
    "heartbeat_seconds": Meaning(
        "core s / heartbeat", "to make, send or take in one heartbeat with its gossip"
    ),
    "heartbeat_wire_bytes": Meaning(
        "bytes / heartbeat", "one heartbeat with its gossip on the wire"
    ),
    "member_bytes": Meaning("bytes / member", "one known member"),
    "address_seconds_per_member": Meaning(
        "core s / member", "one address answer, for each known member"
    ),
    "configuration_seconds_per_team": Meaning(
        "core s / team", "to read, check and index one team of the fleet text"
    ),
    "configuration_text_bytes_per_team": Meaning(
        "bytes / team", "one team in the fleet text"
    ),
    "configuration_change_wire_bytes": Meaning(
        "bytes / change", "a change of one team told to one neighbour"
    ),
    "configuration_bytes_per_team": Meaning(
        "bytes / team", "one team in a configuration in memory"
    ),
    "configuration_spread_seconds_per_hop": Meaning(
        "s / hop", "from one instance's acceptance to its neighbour's"
    ),
    "prefix_bytes_per_block": Meaning(
        "bytes / block", "one block of one engine in a keeper's prefix index"
    ),
    "relay_seconds_per_request": Meaning(
        "core s / request", "to pass one request on to its owner"
    ),
    "metric_seconds_per_request": Meaning(
        "core s / request", "counting one request: metrics, burn windows, history"
    ),
    "burn_bytes_per_cell": Meaning(
        "bytes / cell", "one service, tier, team and engine in one window bucket"
    ),
}


def read(path: pathlib.Path = PATH) -> dict[str, Slope]:
    """Return the measured slopes; raise ValueError for one that is not known."""
    found = msgspec.convert(tomllib.loads(path.read_text()), dict[str, Slope])
    for name in found:
        if name not in KNOWN:
            raise ValueError(f"{path.name}: no slope named {name!r}")
    return found


def write(found: dict[str, Slope], path: pathlib.Path = PATH) -> None:
    """Write the measured slopes below the comment that the file begins with."""
    head = []
    for line in path.read_text().splitlines():
        if not line.startswith("#"):
            break
        head.append(line)
    parts = ["\n".join(head)]
    for name in KNOWN:
        if name not in found:
            continue
        slope = found[name]
        lines = [f"[{name}]", f"value = {slope.value!r}"]
        lines += [f"command = {json.dumps(slope.command)}", f"date = {slope.date}"]
        if slope.note:
            lines.append(f"note = {json.dumps(slope.note)}")
        parts.append("\n".join(lines))
    path.write_text("\n\n".join(parts) + "\n")
