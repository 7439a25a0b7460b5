"""Renders docs/CAPACITY.md from the measured slopes and the target size."""

import typing

from . import capacity_roles, slopes

HEAD = """\
<!-- Written by `python -m cassiaquay_dev.sizing.capacity`. Do not edit. -->
# Capacity

What each role would cost one daemon at the size that is built towards, worked out from
slopes measured on one machine with small stand-ins. Not a measurement at that size: the
slopes are taken as straight lines. A cell without a measured slope says so.

"""


# Longest time for which reading a fleet text may block the event loop.
MAX_LOOP_BLOCKED_SECONDS = 0.1


class Shortfall(typing.NamedTuple):
    """A requirement that the current mechanism misses, with a design that meets it."""

    requirement: str
    current: str
    remedy: str


def render(measured: capacity_roles.Slopes) -> str:
    """Return the page as Markdown."""
    size = capacity_roles.Size()
    parts = [
        HEAD + _inputs(size),
        "## Each role, at one daemon\n\n" + _roles(size, measured),
        "## Against the limits for control\n\n" + _limits(size, measured),
        "## Where today's mechanism does not reach\n\n" + _shortfalls(size, measured),
        "## Failures\n\n" + _failures(size),
        "## Slopes\n\n" + _slopes(measured),
    ]
    return "\n\n".join(parts) + "\n"


def _inputs(size: capacity_roles.Size) -> str:
    return (
        "## The size\n\n"
        f"{size.daemons} daemons, {size.engines} engines on {size.accelerators}"
        f" accelerators, {size.requests_per_second:g} requests and"
        f" {size.tokens_per_second:g} tokens a second, {size.teams} teams,"
        f" {size.models} models, {size.regions} regions, {size.domains} failure"
        f" domains, {size.changes_per_day:g} changes a day, in force within"
        f" {size.force_seconds:g} s.\n\n"
        f"From these: {size.tokens_per_request:.0f} tokens and"
        f" {size.seconds_per_request:.1f} s a request, {size.open_requests:.0f} open"
        f" requests ({size.open_requests / size.daemons:.0f} a daemon), {size.shards}"
        f" shards, {size.requests_per_second / size.shards:.0f} demands a second and"
        f" {size.open_requests / size.shards:.0f} running requests a shard."
    )


def _roles(size: capacity_roles.Size, measured: capacity_roles.Slopes) -> str:
    lines = [
        "| role | state | messages | processor | memory | between instances |"
        " carried by |",
        "|---|---|---|---|---|---|---|",
    ]
    for name in capacity_roles.roles.names():
        role = capacity_roles.roles.get(name)
        cost = role.cost(size, measured)
        cells = [
            name if role.is_control else f"{name} (data path)",
            role.state,
            role.messages,
            _format_core(cost.core),
            _format_bytes(cost.memory),
            _format_rate(cost.wire),
            role.mechanism,
        ]
        lines.append(f"| {' | '.join(cells)} |")
    note = (
        "\n\nA dash: the role has nothing of the kind worth a slope. The busiest daemon"
        " is shown, which keeps"
        f" {capacity_roles.BUSIEST_SHARDS} shards."
    )
    return "\n".join(lines) + note


def _limits(size: capacity_roles.Size, measured: capacity_roles.Slopes) -> str:
    core = memory = wire = 0.0
    for name in capacity_roles.roles.names():
        role = capacity_roles.roles.get(name)
        if not role.is_control:
            continue
        cost = role.cost(size, measured)
        core += cost.core or 0.0
        memory += cost.memory or 0.0
        wire += cost.wire or 0.0
    rows = [
        (
            "processor",
            _format_core(core),
            _format_core(size.core_share),
            core <= size.core_share,
        ),
        (
            "memory",
            _format_bytes(memory),
            _format_bytes(size.memory_bytes),
            memory <= size.memory_bytes,
        ),
        (
            "between instances",
            f"{_format_bytes(wire)}/s",
            f"{_format_bytes(size.wire_bytes_per_second)}/s",
            wire <= size.wire_bytes_per_second,
        ),
    ]
    lines = [
        "| what | measured parts of the busiest daemon | limit | |",
        "|---|---|---|---|",
    ]
    for what, found, limit, fits in rows:
        verdict = "within, as far as measured" if fits else "over"
        lines.append(f"| {what} | {found} | {limit} | {verdict} |")
    return "\n".join(lines)


def _shortfalls(size: capacity_roles.Size, measured: capacity_roles.Slopes) -> str:
    lines = ["| demand | today | what would reach |", "|---|---|---|"]
    for item in _find_shortfalls(size, measured):
        lines.append(f"| {item.requirement} | {item.current} | {item.remedy} |")
    return "\n".join(lines)


def _find_shortfalls(
    size: capacity_roles.Size, measured: capacity_roles.Slopes
) -> list[Shortfall]:
    found = []
    for check in (
        _text_size_shortfall,
        _text_reading_shortfall,
        _wire_shortfall,
        _full_pass_shortfall,
        _recovery_shortfall,
    ):
        found += check(size, measured)
    return found


def _text_size_shortfall(
    size: capacity_roles.Size, measured: capacity_roles.Slopes
) -> list[Shortfall]:
    text = capacity_roles.weighted_sum(
        measured, ("configuration_text_bytes_per_team", float(size.teams))
    )
    if text is None or text <= size.platform_value_bytes:
        return []
    return [
        Shortfall(
            f"one text with {size.teams} teams in a value of"
            f" {_format_bytes(size.platform_value_bytes)}",
            f"{_format_bytes(text)}",
            "teams in texts of their own by hash, named with their revisions by the"
            " first text; each accepted whole with it",
        )
    ]


def _text_reading_shortfall(
    size: capacity_roles.Size, measured: capacity_roles.Slopes
) -> list[Shortfall]:
    reading = capacity_roles.weighted_sum(
        measured, ("configuration_seconds_per_team", float(size.teams))
    )
    if reading is None or reading <= MAX_LOOP_BLOCKED_SECONDS:
        return []
    return [
        Shortfall(
            "a change does not hold up requests",
            f"reading the text takes {reading:.1f} s of the event loop",
            "read only the teams' text that changed, in steps between which the"
            " loop goes on",
        )
    ]


def _wire_shortfall(
    size: capacity_roles.Size, measured: capacity_roles.Slopes
) -> list[Shortfall]:
    found = []
    for name, limit_name in (
        (f"3 keeper of {capacity_roles.BUSIEST_SHARDS} shards", "demands"),
        ("4 renewals at that keeper", "renewals"),
        ("5 membership", "heartbeats"),
    ):
        wire = capacity_roles.roles.get(name).cost(size, measured).wire
        if wire is None or wire <= size.wire_bytes_per_second:
            continue
        found.append(
            Shortfall(
                f"{limit_name} within {_format_bytes(size.wire_bytes_per_second)}/s",
                f"{_format_bytes(wire)}/s at the busiest daemon",
                REMEDIES[limit_name],
            )
        )
    return found


def _full_pass_shortfall(
    size: capacity_roles.Size, measured: capacity_roles.Slopes
) -> list[Shortfall]:
    events = 2.0 * size.requests_per_second / size.shards
    overload = capacity_roles.weighted_sum(
        measured, ("keeper_seconds_per_full_pass", events)
    )
    if overload is None or overload <= size.core_share:
        return []
    return [
        Shortfall(
            "a keeper goes on under overload",
            f"a pass at each of {events:.0f} demands and releases a second over a"
            f" queue of 300 takes {_format_core(overload)} for one shard",
            "passes at most every few milliseconds; look only at the servers that a"
            " release has touched",
        )
    ]


def _recovery_shortfall(
    size: capacity_roles.Size, measured: capacity_roles.Slopes
) -> list[Shortfall]:
    return [
        Shortfall(
            "a dead owner's streams are found again",
            f"{size.open_requests / size.daemons:.0f} streams, each looked for at all"
            f" {-(-size.engines // size.models)} engines of its model",
            "ask the shard's keeper first: it knows the engine from renewals",
        )
    ]


REMEDIES = {
    "demands": "hashes of the prefix only where the shard's engines hold such a prefix;"
    " permits in chunks for a tier and team that has work; smaller shards",
    "renewals": "a lease for each owner and shard with the differences only, and the"
    " whole list when the keeper is new",
    "heartbeats": "the facts that changed only, under a budget of bytes a second",
}


def _failures(size: capacity_roles.Size) -> str:
    per_daemon = size.open_requests / size.daemons
    domain_daemons = size.daemons / size.domains
    domain_engines = size.engines / size.domains
    lines = [
        "| failure | what it means | carried by |",
        "|---|---|---|",
        f"| an ordinary day: {size.failures_per_day} instances fail | {per_daemon:.0f}"
        " open requests each; their streams are read on at the engines, what waited is"
        " `owner_gone` | recovery; incarnations |",
        f"| an ordinary day: {size.restarts_per_day} restarted or replaced | one every"
        f" {86400 / size.restarts_per_day:.0f} s; open requests finish | graceful"
        " shutdown; a start takes the newest text of its peers |",
        "| a rack or switch, every month or two | as several failures at once; shards"
        " move to the next in rank | rendezvous hashing; renewals teach the new"
        " keeper |",
        f"| a failure domain | {domain_daemons:.0f} daemons with"
        f" {domain_daemons * per_daemon:.0f} open requests and {domain_engines:.0f}"
        f" engines; the others carry {size.domains / (size.domains - 1):.2f} times"
        " their load, the lowest tiers are shed | as above; strict tiers |",
        "| regions apart for an hour | each side serves with its own engines and"
        f" keepers; about {size.changes_per_day / 24:.0f} changes reach only the side"
        " that sees the platform; the other takes the newest one when they meet |"
        " revisions of the platform; no agreement needed |",
    ]
    return "\n".join(lines)


def _slopes(measured: capacity_roles.Slopes) -> str:
    lines = [
        "| slope | value | unit | meaning | command | date |",
        "|---|---|---|---|---|---|",
    ]
    for name, meaning in slopes.DEFINITIONS.items():
        slope = measured.get(name)
        if slope is None:
            lines.append(
                f"| `{name}` | not measured | {meaning.unit} | {meaning.text} | | |"
            )
            continue
        text = meaning.text + (f" ({slope.note})" if slope.note else "")
        lines.append(
            f"| `{name}` | {slope.value:g} | {meaning.unit} | {text} |"
            f" `{slope.command}` | {slope.date} |"
        )
    return "\n".join(lines)


def _format_core(value: float | None) -> str:
    if value is None:
        return "not measured"
    return f"{value:.2%} of a core" if value else "-"


def _format_rate(value: float | None) -> str:
    return f"{_format_bytes(value)}/s" if value else _format_bytes(value)


def _format_bytes(value: float | None) -> str:
    if value is None:
        return "not measured"
    if not value:
        return "-"
    for unit, size in (("MB", 1e6), ("KB", 1e3)):
        if value >= size:
            return f"{value / size:.3g} {unit}"
    return f"{value:.0f} B"
