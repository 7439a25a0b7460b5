"""Metrics of the paths to backend servers and of the answers that are held."""

from . import families

Family = families.Family

UNREACHABLE_SERVERS = Family(
    "cassiaquay_unreachable_servers",
    "gauge",
    ("service",),
    "Backend servers that this instance cannot connect to.",
)
RELAYED_REQUESTS = Family(
    "cassiaquay_gateway_relayed_requests_total",
    "counter",
    ("role",),
    "Requests that reached their server by a relay: as their owner, or as the relay.",
)
RESUMED_STREAMS = Family(
    "cassiaquay_gateway_resumed_streams_total",
    "counter",
    ("origin",),
    "Streams that callers took up here: origin known, the sole version, derived, or "
    "unknown.",
)
PROCESS_CHECKS = Family(
    "cassiaquay_gateway_process_checks_total",
    "counter",
    ("result",),
    "Servers asked, before a stream went on there, whether they have restarted.",
)
STREAM_ORIGINS = Family(
    "cassiaquay_stream_origin_entries",
    "gauge",
    (),
    "Streams of which this instance knows where they began.",
)
HELD_BYTES = Family(
    "cassiaquay_gateway_held_bytes",
    "gauge",
    ("at",),
    "Bytes of answers held until they are complete: now, and the most so far.",
)
UNREAD_REQUESTS = Family(
    "cassiaquay_gateway_unread_requests",
    "gauge",
    (),
    "Requests whose answers are not read on: those held here are at their bound.",
)
RETRIES = Family(
    "cassiaquay_gateway_recognized_retries_total",
    "counter",
    ("route",),
    "Attempts recognized as retries of refused callers by the time that they had left.",
)

FAMILIES = (
    UNREACHABLE_SERVERS,
    RELAYED_REQUESTS,
    RESUMED_STREAMS,
    PROCESS_CHECKS,
    STREAM_ORIGINS,
    HELD_BYTES,
    UNREAD_REQUESTS,
    RETRIES,
)
