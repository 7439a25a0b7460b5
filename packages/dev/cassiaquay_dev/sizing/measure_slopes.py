"""Measure the slopes in docs/capacity/slopes.toml that need one machine only.

Run as ``python -m cassiaquay_dev.sizing.measure_slopes [NAME ...]``. Prints the values
and, with ``--write``, writes them to the file. Without names, measures all slopes that
are registered in this module.
"""

import collections.abc
import datetime
import sys
import time
import tracemalloc
import typing

import msgspec

from cassiaquay_daemon.configured import changes, snapshots
from cassiaquay_daemon.decisions import prefixes
from cassiaquay_daemon.fleet import members
from cassiaquay_daemon.interface import addresses
from cassiaquay_daemon.links import frames
from cassiaquay_daemon.owners import owner, requests, tokens
from cassiaquay_schema import messages, registry

from .. import deployments
from . import reports_cost, slopes, slopes_keeper, slopes_path

Measure = collections.abc.Callable[[], float]
measures: registry.Registry[Measure] = registry.Registry("slope")

KEY = "key"
SMALL_TEAM_COUNT, LARGE_TEAM_COUNT = 1000, 5000
ITEM_COUNT = 2000
RESPONSE_COUNT = 50
PROMPT = "why " * 2000


def fleet_text(teams: int) -> str:
    """Return the fleet text of deployment Brindley Lane with ``teams`` more teams."""
    deployment = deployments.BRINDLEY
    names = [engine.name for engine in deployment.engines]
    names += [plain.name for plain in deployment.plains]
    addresses = {name: f"10.0.0.{index}:9000" for index, name in enumerate(names)}
    lines = [deployments.fleet_text(deployment, addresses)]
    for number in range(teams):
        lines += [f"[teams.team-{number}]", f'credentials = ["{number:064x}"]']
        lines += ['tiers = ["standard", "background"]', "weight = 1.0", ""]
    return "\n".join(lines)


def _demand(number: int) -> messages.Demand:
    blocks = prefixes.blocks(PROMPT)
    request_id = f"cq-1.0123456789ab.60000.0123456789abcdef~{number:032x}"
    return messages.Demand(
        request_id,
        "engines#0",
        "tutor-assist",
        "feedback",
        1,
        2000,
        256,
        20000,
        f"session-{number}",
        blocks,
        [],
    )


def _outstanding(number: int) -> messages.Outstanding:
    demand = _demand(number)
    return messages.Outstanding(
        demand.id, demand.service, demand.team, demand.rank, "tutor-1", 2000, 256
    )


class _Members:
    """Simulates the membership of an instance with many known members."""

    def __init__(self, count: int):
        self._serving = []
        for number in range(count):
            member = messages.Member(
                f"cq-{number}",
                "0123456789ab",
                f"domain-{number % 7}",
                "10.0.0.1:80",
                "10.0.0.1:81",
                number,
                False,
                float(number % 50),
                1,
                0.0,
                "10.0.0.1:82",
                100.0,
            )
            self._serving.append(member)

    def serving(self) -> list[messages.Member]:
        """Return all members."""
        return self._serving

    def mint(self) -> str:
        """Return an instance token."""
        return tokens.mint(KEY, "cq-1", "0123456789ab", 160.0)

    def uptime(self, instance: str) -> float:
        """Return a fixed uptime in seconds."""
        return 100.0


@measures.register("address_seconds_per_member")
def address_seconds() -> float:
    """Return the processor time of an address response per member."""
    settings = slopes_keeper.make_settings()
    durations = []
    for count in (20, 380):
        known = typing.cast(members.Membership, _Members(count))
        best = float("inf")
        for _ in range(5):
            start = time.process_time()
            for _ in range(RESPONSE_COUNT):
                addresses.answer(settings, known, "domain-1")
            best = min(best, (time.process_time() - start) / RESPONSE_COUNT)
        durations.append(best)
    return (durations[1] - durations[0]) / 360


@measures.register("configuration_text_bytes_per_team")
def text_bytes() -> float:
    """Return the bytes that each further team adds to the fleet text."""
    return (len(fleet_text(LARGE_TEAM_COUNT)) - len(fleet_text(SMALL_TEAM_COUNT))) / (
        LARGE_TEAM_COUNT - SMALL_TEAM_COUNT
    )


@measures.register("configuration_change_wire_bytes")
def change_bytes() -> float:
    """Return the bytes of the message that changes the weight of one team."""
    before = fleet_text(SMALL_TEAM_COUNT)
    team_start = before.index("[teams.team-500]")
    after = before[:team_start] + before[team_start:].replace(
        "weight = 1.0", "weight = 2.5", 1
    )
    found = changes.difference(before, after)
    message = messages.ConfigurationChange(
        2000, 2**63, 2**62, found.start, found.end, found.part
    )
    return float(len(frames.encode(message)))


@measures.register("configuration_seconds_per_team")
def text_seconds() -> float:
    """Return the processor time to read each further team."""
    durations = []
    for teams in (SMALL_TEAM_COUNT, LARGE_TEAM_COUNT):
        text = fleet_text(teams)
        best = float("inf")
        for _ in range(3):
            start = time.process_time()
            snapshots.read(1, text)
            best = min(best, time.process_time() - start)
        durations.append(best)
    return (durations[1] - durations[0]) / (LARGE_TEAM_COUNT - SMALL_TEAM_COUNT)


@measures.register("configuration_bytes_per_team")
def configuration_bytes() -> float:
    """Return the memory that each further team in force takes, text included."""
    sizes = []
    for teams in (SMALL_TEAM_COUNT, LARGE_TEAM_COUNT):
        tracemalloc.start()
        kept = snapshots.read(1, fleet_text(teams))
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        sizes.append(size)
        del kept
    return (sizes[1] - sizes[0]) / (LARGE_TEAM_COUNT - SMALL_TEAM_COUNT)


@measures.register("keeper_wire_bytes_per_demand")
def demand_bytes() -> float:
    """Return the bytes of a demand, its permit and its release on the wire."""
    demand = _demand(1)
    release = messages.Release(
        demand.id, demand.shard, "tutor-1", "completed", 2000, 1500, 204, 210.5, 16000.5
    )
    permit = messages.Permit(demand.id, "tutor-1", 1500)
    return float(sum(len(frames.encode(item)) for item in (demand, permit, release)))


@measures.register("renewal_wire_bytes_per_item")
def renewal_bytes() -> float:
    """Return the bytes on the wire per item of a lease renewal."""
    items = [_outstanding(number) for number in range(ITEM_COUNT)]
    return len(frames.encode(messages.Renewal("engines#0", items))) / ITEM_COUNT


@measures.register("renewal_seconds_per_item")
def renewal_seconds() -> float:
    """Return the processor time to encode and decode one item of a lease renewal."""
    items = [_outstanding(number) for number in range(ITEM_COUNT)]
    best = float("inf")
    for _ in range(5):
        start = time.process_time()
        frame = frames.encode(messages.Renewal("engines#0", items))
        frames.Decoder().feed(frame)
        best = min(best, time.process_time() - start)
    return best / ITEM_COUNT


@measures.register("owner_bytes_per_entry")
def entry_bytes() -> float:
    """Return the memory of one entry of the owner's table, without events."""
    snapshot = snapshots.read(1, fleet_text(0))
    token = tokens.mint(KEY, "cq-1", "0123456789ab", 60.0)
    kept = {}
    tracemalloc.start()
    for number in range(ITEM_COUNT):
        request_id = tokens.parse([KEY], f"{token}~{number:032x}")
        prompt = f"{number} {PROMPT}"
        body = {"service": "tutor-assist", "prompt": prompt}
        data = msgspec.json.encode(body)
        accepted = requests.accept(request_id, "feedback", data, snapshot)
        kept[request_id.text] = owner.Entry(accepted)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / ITEM_COUNT


@measures.register("owner_bytes_per_event")
def event_bytes() -> float:
    """Return the memory of one stored event of an answer."""
    snapshot = snapshots.read(1, fleet_text(0))
    token = tokens.mint(KEY, "cq-1", "0123456789ab", 60.0)
    request_id = tokens.parse([KEY], f"{token}~a")
    data = msgspec.json.encode({"service": "tutor-assist", "prompt": PROMPT})
    entry = owner.Entry(requests.accept(request_id, "feedback", data, snapshot))
    tracemalloc.start()
    for number in range(ITEM_COUNT):
        entry.answer.append(b'{"text":"word%d "}' % number)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / ITEM_COUNT


@measures.register("metric_seconds_per_request")
def metric_seconds() -> float:
    """Return the processor time to count one request in metrics and windows."""
    return min(reports_cost.counting_microseconds() for _ in range(3)) / 1e6


@measures.register("burn_bytes_per_cell")
def burn_bytes() -> float:
    """Return the memory of one burn counter in one bucket."""
    return reports_cost.cell_bytes()


measures.register("keeper_seconds_per_demand")(slopes_keeper.seconds_per_demand)
measures.register("keeper_seconds_per_full_pass")(slopes_keeper.seconds_per_full_pass)
measures.register("keeper_bytes_per_demand")(slopes_keeper.bytes_per_demand)
measures.register("prefix_bytes_per_block")(slopes_keeper.bytes_per_block)
measures.register("base_bytes")(slopes_path.base_bytes)
measures.register("owner_seconds_per_request")(slopes_path.seconds_per_request)
measures.register("owner_seconds_per_event")(slopes_path.seconds_per_event)


def write(found: dict[str, float]) -> None:
    """Write values to the file of slopes and keep the other values in it."""
    known = slopes.read()
    today = datetime.date.today()
    for name, value in found.items():
        command = f"python -m cassiaquay_dev.sizing.measure_slopes {name}"
        known[name] = slopes.Slope(value=value, command=command, date=today)
    slopes.write(known)


def main(arguments: list[str]) -> None:
    """Measure and print slopes; write them with ``--write``."""
    names = [text for text in arguments if not text.startswith("--")]
    found = {}
    for name in names or measures.names():
        found[name] = float(f"{measures.get(name)():.3g}")
        print(f"{name} = {found[name]:g} {slopes.DEFINITIONS[name].unit}", flush=True)
    if "--write" in arguments:
        write(found)


if __name__ == "__main__":
    main(sys.argv[1:])
