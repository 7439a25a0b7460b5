"""Metrics in the Prometheus conventions; docs/METRICS.md lists them all.

The metrics library converts a label set to a key at each update, which takes about
10 us. Values that change with every request are therefore kept in plain dictionaries
and histogram objects here, and passed to the library when the page is rendered.
"""

import collections

from aioprometheus import collectors, renderer
from aioprometheus import histogram as histograms

from . import families, reach_families

Family = families.Family
Key = families.Key
Labels = dict[str, str]

FIRST_EVENT_BOUNDS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
DURATION_BOUNDS_SECONDS = (0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 40.0, 80.0)
SILENCE_BOUNDS_SECONDS = (0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
LAG_BOUNDS_SECONDS = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)

REQUESTS = Family(
    "cassiaquay_requests_total",
    "counter",
    ("service", "tier", "outcome", "code"),
    "Requests of this owner that have ended.",
)
TEAM_REQUESTS = Family(
    "cassiaquay_team_requests_total",
    "counter",
    ("team", "outcome"),
    "The same by team: the heaviest few by name, the others as `other`.",
)
REFUSALS = Family(
    "cassiaquay_early_refusals_total",
    "counter",
    ("code",),
    "Calls refused before there was an entry: bad ids, credentials, bodies.",
)
FIRST_EVENT = Family(
    "cassiaquay_first_event_seconds",
    "histogram",
    ("service", "tier"),
    "From acceptance to the first event of the answer.",
    FIRST_EVENT_BOUNDS_SECONDS,
)
REQUEST_DURATION = Family(
    "cassiaquay_request_seconds",
    "histogram",
    ("service", "tier"),
    "From acceptance to the end, completed requests.",
    DURATION_BOUNDS_SECONDS,
)
PROMPT_TOKENS = Family(
    "cassiaquay_prompt_tokens_total",
    "counter",
    ("service",),
    "Tokens of prompts of completed requests, as engines counted them.",
)
CACHED_TOKENS = Family(
    "cassiaquay_cached_prompt_tokens_total",
    "counter",
    ("service",),
    "Of these, read from engines' prefix caches.",
)
OUTPUT_TOKENS = Family(
    "cassiaquay_output_tokens_total",
    "counter",
    ("service",),
    "Tokens of answers of completed requests.",
)
WASTED_TOKENS = Family(
    "cassiaquay_wasted_prompt_tokens_total",
    "counter",
    (),
    "Prompt tokens that engines had read for requests which were then stopped.",
)
SILENCES = Family(
    "cassiaquay_gateway_silence_seconds",
    "histogram",
    ("service", "outcome"),
    "Longest time without a byte of servers that fell silent while an answer was due.",
    SILENCE_BOUNDS_SECONDS,
)
KEPT_SERVERS = Family(
    "cassiaquay_gateway_kept_servers_total",
    "counter",
    ("service", "cause"),
    "Times that no other server could take the request of a silent one, by cause.",
)
LOST_ANSWERS = Family(
    "cassiaquay_gateway_lost_answers_total",
    "counter",
    ("service", "cause"),
    "Requests that ended as `answer_lost`; the cause is that of their line `ended`.",
)
LATE_REFUSALS = Family(
    "cassiaquay_gateway_late_refusals_total",
    "counter",
    ("service", "code"),
    "Requests that ended unsent later than an eighth of their objective, by code.",
)
UNANSWERED = Family(
    "cassiaquay_gateway_unanswered_requests_total",
    "counter",
    ("cause", "dispatched"),
    "Requests that were read whole and got no complete answer.",
)
LAG = Family(
    "cassiaquay_event_loop_lag_seconds",
    "histogram",
    (),
    "By how much a timer of this process was late.",
    LAG_BOUNDS_SECONDS,
)
ALARMS = Family(
    "cassiaquay_alarms_total",
    "counter",
    ("event",),
    "Log lines of level WARNING; docs/OPERATIONS.md tells what to do on each.",
)
OPEN = Family(
    "cassiaquay_open_requests",
    "gauge",
    ("state",),
    "Requests of this owner that have not ended: waiting or dispatched.",
)
TABLE = Family(
    "cassiaquay_table_entries",
    "gauge",
    (),
    "Entries in the owner's table, ended ones included.",
)
QUEUE = Family(
    "cassiaquay_keeper_queue_requests",
    "gauge",
    ("shard", "tier"),
    "Demands that wait at this keeper.",
)
PERMITS = Family(
    "cassiaquay_keeper_running_requests",
    "gauge",
    ("shard",),
    "Permits given by this keeper and dispatches that it knows of.",
)
SERVER_TOKENS = Family(
    "cassiaquay_server_tokens_in_flight",
    "gauge",
    ("server",),
    "Tokens that this keeper takes to be in flight on a backend server.",
)
QUARANTINED = Family(
    "cassiaquay_quarantined_requests",
    "gauge",
    (),
    "Requests that are refused here since they have crashed servers.",
)
QUARANTINED_PARTS = Family(
    "cassiaquay_quarantined_prompt_part_entries",
    "gauge",
    (),
    "Parts of prompts whose requests are refused here since they have crashed servers.",
)
COLD_SERVERS = Family(
    "cassiaquay_cold_servers",
    "gauge",
    (),
    "Backend servers that this instance takes for cold: slow start limits them.",
)
COLD_GRANTS = Family(
    "cassiaquay_keeper_cold_grants_total",
    "counter",
    ("shard",),
    "Permits of this keeper for cold backend servers.",
)
SHED = Family(
    "cassiaquay_keeper_shed_requests_total",
    "counter",
    ("shard", "share"),
    "Demands that this keeper shed, by whether their team was above its fair share.",
)
LIMITED_SERVERS = Family(
    "cassiaquay_limited_servers",
    "gauge",
    (),
    "Backend servers that limit the requests a second by their answers.",
)
BRITTLE_SERVERS = Family(
    "cassiaquay_brittle_servers",
    "gauge",
    (),
    "Backend servers that report in their answers that they bear few rejections.",
)
LEAVING_SERVERS = Family(
    "cassiaquay_leaving_servers",
    "gauge",
    (),
    "Backend servers that report in their answers that they are shutting down.",
)
BACKOFF_SERVERS = Family(
    "cassiaquay_backoff_servers",
    "gauge",
    (),
    "Backend servers that want no request from this instance now.",
)
LIMITED_GRANTS = Family(
    "cassiaquay_keeper_limited_grants_total",
    "counter",
    ("shard",),
    "Permits of this keeper for backend servers that name a limit.",
)
EVACUATED = Family(
    "cassiaquay_evacuated_domains",
    "gauge",
    (),
    "Failure domains whose backend servers get no new work.",
)
REVISION = Family(
    "cassiaquay_configuration_revision",
    "gauge",
    (),
    "Number of the configuration in force, or its revision; 0 before there is one.",
)
PLATFORM_RETURNS = Family(
    "cassiaquay_platform_returns_total",
    "counter",
    (),
    "Epoch of the configuration in force: returns of the platform from a copy.",
)
REJECTED = Family(
    "cassiaquay_configuration_rejected_revisions",
    "gauge",
    (),
    "Published revisions that were not accepted here.",
)
MEMBERS = Family(
    "cassiaquay_members",
    "gauge",
    ("state",),
    "Instances that this one takes for alive: serving or leaving.",
)
PEER_SENT = Family(
    "cassiaquay_peer_sent_bytes_total",
    "counter",
    (),
    "Bytes of frames sent to other instances.",
)
PEER_RECEIVED = Family(
    "cassiaquay_peer_received_bytes_total",
    "counter",
    (),
    "Bytes read from other instances.",
)
SLOW_PERIODS = Family(
    "cassiaquay_slow_periods_total",
    "counter",
    (),
    "Times that this instance became slow: its event loop was late for a while.",
)
HAND_OVERS = Family(
    "cassiaquay_keeper_hand_overs_total",
    "counter",
    ("cause",),
    "Shards whose keeper role moved from this live instance: slow or placement.",
)
RELAYED = Family(
    "cassiaquay_relayed_requests_total",
    "counter",
    (),
    "Calls passed on to the owner of their id.",
)
RECOVERIES = Family(
    "cassiaquay_recoveries_total",
    "counter",
    ("result",),
    "Streams looked for at engines because their owner is gone: found or missing.",
)

FAMILIES = (
    REQUESTS,
    TEAM_REQUESTS,
    REFUSALS,
    FIRST_EVENT,
    REQUEST_DURATION,
    PROMPT_TOKENS,
    CACHED_TOKENS,
    OUTPUT_TOKENS,
    WASTED_TOKENS,
    SILENCES,
    KEPT_SERVERS,
    LOST_ANSWERS,
    LATE_REFUSALS,
    UNANSWERED,
    LAG,
    ALARMS,
    OPEN,
    TABLE,
    QUEUE,
    PERMITS,
    SERVER_TOKENS,
    QUARANTINED,
    QUARANTINED_PARTS,
    COLD_SERVERS,
    COLD_GRANTS,
    SHED,
    BRITTLE_SERVERS,
    LEAVING_SERVERS,
    BACKOFF_SERVERS,
    *reach_families.FAMILIES,
    LIMITED_SERVERS,
    LIMITED_GRANTS,
    EVACUATED,
    REVISION,
    PLATFORM_RETURNS,
    REJECTED,
    MEMBERS,
    PEER_SENT,
    PEER_RECEIVED,
    SLOW_PERIODS,
    HAND_OVERS,
    RELAYED,
    RECOVERIES,
)

_KINDS: dict[str, type[collectors.Collector]] = {
    "counter": collectors.Counter,
    "gauge": collectors.Gauge,
}


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self._counts: dict[str, collections.Counter[Key]] = {}
        self._histograms: dict[tuple[str, Key], histograms.Histogram] = {}
        self._collectors: dict[str, collectors.Collector] = {}
        for family in FAMILIES:
            self._collectors[family.name] = self._collector(family)
            self._counts[family.name] = collections.Counter()

    def count(self, family: Family, key: Key = (), number: int = 1) -> None:
        """Add to a counter."""
        self._counts[family.name][key] += number

    def observe(self, family: Family, key: Key, seconds: float) -> None:
        """Add one observation to a histogram."""
        histogram = self._histograms.get((family.name, key))
        if histogram is None:
            histogram = histograms.Histogram(*family.buckets, float("inf"))
            self._histograms[family.name, key] = histogram
            self._collectors[family.name].set_value(_labels(family, key), histogram)
        histogram.observe(seconds)

    def total(self, family: Family, position: int) -> dict[str, int]:
        """Return a counter's sums by the label at ``position``."""
        sums: dict[str, int] = {}
        for key, value in self._counts[family.name].items():
            sums[key[position]] = sums.get(key[position], 0) + value
        return sums

    def replace(self, family: Family, values: dict[Key, float]) -> None:
        """Replace all values of a gauge, or of a counter maintained elsewhere."""
        collector = self._collectors[family.name]
        # Label sets that no longer exist must not keep their last value on the page.
        collector.values.store.clear()
        for key, value in values.items():
            collector.set_value(_labels(family, key), value)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the page in an accepted format, and its headers."""
        for family in FAMILIES:
            for key, value in self._counts[family.name].items():
                labels = _labels(family, key)
                self._collectors[family.name].set_value(labels, value)
        return renderer.render(self.registry, accept)

    def _collector(self, family: Family) -> collectors.Collector:
        if family.kind == "histogram":
            return collectors.Histogram(
                family.name,
                family.doc,
                registry=self.registry,
                buckets=[*family.buckets, float("inf")],
            )
        kind = _KINDS[family.kind]
        return kind(family.name, family.doc, registry=self.registry)


def _labels(family: Family, key: Key) -> Labels:
    return dict(zip(family.labels, key, strict=True))


def page() -> str:
    """Return the table of docs/METRICS.md."""
    lines = ["| metric | kind | labels | meaning |", "|---|---|---|---|"]
    for family in FAMILIES:
        labels = ", ".join(f"`{label}`" for label in family.labels)
        lines.append(f"| `{family.name}` | {family.kind} | {labels} | {family.doc} |")
    return "\n".join(lines)
