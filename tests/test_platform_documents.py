"""Decoding of the platform's configuration document, registrations and headers."""

import contextlib
import json
import pathlib
import re

import hypothesis
import multidict
import pytest
from hypothesis import strategies

from cassiaquay_daemon.adapters import signals
from cassiaquay_daemon.configured import routing
from cassiaquay_daemon.platform import documents, entries, headers
from cassiaquay_schema import exceptions

DAEMON = pathlib.Path(documents.__file__).parents[1]
ROUTE = {
    "name": "r-1",
    "host": "Host.Example",
    "path-prefix": "/a/",
    "kind": "stream",
    "timeout-ms": 15000,
    "slo-ms": 400,
    "priority": 1,
    "service": "chat",
    "attempts": 2,
    "public": False,
    "sticky": True,
    "can-resume": True,
    "gap-target-ms": 300,
}
TENANT = {
    "name": "blue",
    "api-keys": ["k1", "k2"],
    "priority": 0,
    "unit": "tokens",
    "plain-tokens": 200,
    "rate-per-s": 1000,
    "burst": 500,
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE, ROUTE | {"name": "r-2", "path-prefix": "/a/b/", "kind": "odd"}],
    "services": [
        {"name": "chat", "health-path": "/h", "engine": {"slots": 14, "stride": 5}},
        {"name": "plain", "health-path": "/h"},
    ],
    "limits": {"max-body-bytes": 100, "idle-timeout-ms": 15000},
    "tenants": [TENANT],
}
ENTRY = {
    "service": "chat",
    "addr": "10.0.0.9:8080",
    "zone": "a",
    "slots": 14,
    "state": "ready",
    "seq": 4,
    "born": 1700000000000,
}


def _read(document: object = None) -> routing.Routing:
    text = json.dumps(DOCUMENT if document is None else document)
    found = documents.read(3, text).routes
    assert found is not None
    return found


def test_longest_prefix_wins() -> None:
    found = _read()
    short = found.find("host.example", "/a/x")
    long = found.find("host.example", "/a/b/x")
    assert short is not None
    assert long is not None
    assert (short.name, long.name) == ("r-1", "r-2")
    assert found.find("host.example", "/c/") is None
    assert found.find("other.example", "/a/x") is None


def test_route_has_the_values_of_the_document() -> None:
    route = _read().find("host.example", "/a/")
    assert route is not None
    assert route.kind is routing.Kind.STREAM
    assert (route.timeout_seconds, route.objective_seconds) == (15.0, 0.4)
    assert (route.pause_seconds, route.rank, route.attempts) == (0.3, 1, 2)
    assert route.is_repeatable
    assert route.choose_service() == "chat"
    assert not route._replace(is_resumable=False).is_repeatable


def test_route_of_unknown_kind_is_not_repeatable() -> None:
    """A newer platform version may name a kind that this version does not support.

    A retry could run a booking twice; as non-idempotent, it fails with an error at
    worst.
    """
    route = _read().find("host.example", "/a/b/")
    assert route is not None
    assert route.kind is routing.Kind.NON_IDEMPOTENT
    assert not route.is_repeatable


def test_teams_have_their_keys_and_quotas() -> None:
    found = _read()
    team = found.teams_by_key["k2"]
    assert (team.name, team.rank) == ("blue", 0)
    assert team.quota == routing.Quota(1000, 500, True, 200)
    assert found.needs_keys
    assert found.event_tokens == {"chat": 5}
    without = {key: DOCUMENT[key] for key in DOCUMENT if key != "tenants"}
    assert not _read(without).needs_keys


def test_team_rank_takes_precedence_over_route_rank() -> None:
    """Routes order the requests of teams that have equal ranks."""
    route = _read().find("host.example", "/a/")
    assert route is not None
    first = routing.Team("first", 0, None)
    second = routing.Team("second", 1, None)
    low = route._replace(rank=5)
    ranks = [
        routing.rank_of(first, route),
        routing.rank_of(first, low),
        routing.rank_of(second, route._replace(rank=0)),
        routing.rank_of(second, low),
    ]
    assert ranks == sorted(ranks)
    assert len(set(ranks)) == 4
    unranked = routing.Team("third", None, None)
    assert routing.rank_of(unranked, route) < routing.rank_of(unranked, low)


def test_route_keeps_only_services_with_positive_weight() -> None:
    shares = [{"service": "chat", "weight": 90}, {"service": "plain", "weight": 0}]
    split = {key: ROUTE[key] for key in ROUTE if key != "service"}
    found = _read(DOCUMENT | {"routes": [split | {"backends": shares}]})
    route = found.find("host.example", "/a/")
    assert route is not None
    assert route.shares == (routing.Share("chat", 90),)


@pytest.mark.parametrize(
    "text", ["", "[]", "{}", '{"version": "x"}', "\x00", "[" * 5000]
)
def test_invalid_document_is_refused(text: str) -> None:
    with pytest.raises(exceptions.SchemaError):
        documents.read(1, text)


def test_valid_entry_is_decoded() -> None:
    found = entries.decode("i-1", json.dumps(ENTRY).encode(), 9)
    assert found is not None
    assert (found.name, found.service, found.address) == (
        "i-1",
        "chat",
        "10.0.0.9:8080",
    )
    assert (found.slots, found.leaving, found.revision) == (14, False, 9)
    assert found.started_ms == 1700000000000
    leaving = entries.decode(
        "i-1", json.dumps(ENTRY | {"state": "draining"}).encode(), 9
    )
    assert leaving is not None
    assert leaving.leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "gone"},
        {"state": 3},
        {"addr": "nowhere"},
        {"addr": "10.0.0.9:99999"},
        {"addr": "10.0.0.900:80"},
        {"addr": None},
        {"addr": "10.0.0.\u0669:8080"},
        {"slots": 0},
        {"slots": "many"},
        {"service": ""},
        {"born": "yesterday"},
    ],
)
def test_invalid_entry_is_skipped(change: dict) -> None:
    with pytest.raises(entries.InvalidEntry):
        entries.decode("i-1", json.dumps(ENTRY | change).encode(), 9)


@pytest.mark.parametrize(
    ("version", "software"),
    [("v1.1", "v1.1"), ("", ""), (None, ""), (3, "3"), ([1], "[1]"), ({}, "{}")],
)
def test_software_version_of_any_type_is_decoded(
    version: object, software: str
) -> None:
    """Guards against a server left out for a version that is only compared."""
    entry = ENTRY | {"version": version}
    found = entries.decode("i-1", json.dumps(entry).encode(), 9)
    assert found is not None
    assert found.software == software


def test_long_software_versions_differ() -> None:
    """Guards against two long versions that are cut to the same text."""
    seen = set()
    for suffix in ("a", "b"):
        entry = ENTRY | {"version": "v" * 200 + suffix}
        found = entries.decode("i-1", json.dumps(entry).encode(), 9)
        assert found is not None
        assert len(found.software) <= entries.MAX_SOFTWARE_CHARACTERS
        seen.add(found.software)
    assert len(seen) == 2


@hypothesis.given(strategies.binary(max_size=200))
def test_entry_of_arbitrary_bytes_raises_nothing(data: bytes) -> None:
    with contextlib.suppress(entries.InvalidEntry):
        assert entries.decode("i-1", data, 9).name == "i-1"


CALLER_HEADERS = [
    (b"host", b"Host.Example:80"),
    (b"cassiaquay-attempt-id", b"9c41d07be2a35f68"),
    (b"cassiaquay-deadline-ms", b"1500"),
    (b"api-key", b"k1"),
    (b"cassiaquay-model", b"m"),
    (b"cassiaquay-token-counts", b"1460,80"),
    (b"cassiaquay-prompt-prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
]


def test_request_headers_are_decoded() -> None:
    parsed = headers.read(CALLER_HEADERS)
    assert (parsed.host, parsed.attempt) == ("host.example", "9c41d07be2a35f68")
    assert (parsed.deadline_ms, parsed.key) == (1500, "k1")
    assert (parsed.prompt_tokens, parsed.most_output_tokens) == (1460, 80)
    assert parsed.output_tokens == 80
    assert parsed.last_event == -1
    assert [part.tokens for part in parsed.parts] == [800, 410, 250]
    hinted = headers.read([*CALLER_HEADERS, (b"cassiaquay-length-hint", b"30")])
    assert hinted.output_tokens == 30


def _shared_parts(prefix: bytes, model: bytes = b"m") -> tuple[str, ...]:
    pairs = [(b"cassiaquay-model", model), (b"cassiaquay-prompt-prefix", prefix)]
    return headers.read(pairs).shared_parts


def test_prompt_part_is_recognized_wherever_it_stands() -> None:
    """Guards against taking one part of several prompts for different parts."""
    [first, middle] = _shared_parts(b"a:1,b:2,own:3")
    assert _shared_parts(b"B:7,own:3") == (middle,)
    assert _shared_parts(b"c:1,b:2,a:4,b:2,own:3")[1:] == (middle, first)


def test_same_part_of_another_model_is_another_part() -> None:
    """Guards against judging a part by what another model does with it."""
    assert _shared_parts(b"a:1,own:3") != _shared_parts(b"a:1,own:3", b"other")


def test_requests_own_part_is_not_shared() -> None:
    """Guards against records of parts that no other request has."""
    for prefix in (b"", b"own:3", b"a,own:3", b":5,own:3", b"a:x,own:3"):
        assert _shared_parts(prefix) == ()
    long = b",".join(b"%x:1" % number for number in range(100))
    assert len(_shared_parts(long)) == 99


def test_equal_prompt_parts_after_different_parts_have_different_keys() -> None:
    """A prompt cache can reuse a part only after identical preceding parts."""
    one = headers.read([(b"cassiaquay-prompt-prefix", b"a:1,b:2")]).parts
    other = headers.read([(b"cassiaquay-prompt-prefix", b"c:1,b:2")]).parts
    assert one[1].key != other[1].key


def test_reserved_headers_of_caller_are_dropped() -> None:
    """A caller sends headers that are reserved between this system and its servers.

    Forwarded, they would forge a team, claim held capacity, pin memory or read another
    request's cache. The caller's API key must not be forwarded either.
    """
    forged = [
        (b"cassiaquay-tenant", b"other"),
        (b"cassiaquay-hold", b"h"),
        (b"cassiaquay-pin-ms", b"4000"),
        (b"cassiaquay-kv-backup", b"1.2.3.4:5"),
        (b"kv-from", b"1.2.3.4:5/x"),
        (b"kv-fetch", b"1.2.3.4:5"),
        (b"cassiaquay-expect-instance", b"i-x"),
        (b"server-limit", b"0"),
        (b"transfer-encoding", b"chunked"),
        (b"connection", b"x-private, cassiaquay-model"),
        (b"x-private", b"1"),
    ]
    found = headers.towards_server([*CALLER_HEADERS, *forged], "i-1", "blue", 900, -1)
    names = [name.lower() for name, _ in found]
    values = dict(found)
    assert values["Cassiaquay-Tenant"] == "blue"
    assert values["Cassiaquay-Expect-Instance"] == "i-1"
    assert values["cassiaquay-deadline-ms"] == "900"
    assert names.count("cassiaquay-tenant") == 1
    assert names.count("cassiaquay-expect-instance") == 1
    for name in ("api-key", "x-private", "kv-from", "kv-fetch", "cassiaquay-hold"):
        assert name not in names
    assert "server-limit" not in names
    # Headers that identify the request stay, even if listed in Connection.
    assert values["cassiaquay-model"] == "m"
    assert values["cassiaquay-attempt-id"] == "9c41d07be2a35f68"
    resumed = dict(headers.towards_server(CALLER_HEADERS, "i-1", "", 900, 12))
    assert resumed["last-event-id"] == "12"
    assert "Cassiaquay-Tenant" not in resumed


def _signals(status: int, *pairs: tuple[str, str]) -> signals.Signals:
    found = multidict.CIMultiDictProxy(multidict.CIMultiDict(pairs))
    return headers.read_signals(status, found)


@pytest.mark.parametrize(
    ("values", "limit"),
    [([], None), (["3.9"], 3.9), (["0"], 0.0), (["4", "2.5"], 2.5), ([" 7 "], 7.0)],
)
def test_limit_header_is_decoded(values: list[str], limit: float | None) -> None:
    found = _signals(200, *[("Server-Limit", value) for value in values])
    assert found == signals.Signals(limit=limit)


@pytest.mark.parametrize("value", ["", "many", "-1", "nan", "inf", "1e999", "1,5"])
@pytest.mark.parametrize("name", ["server-limit", "retry-after"])
def test_unreadable_numbers_of_a_server_are_reported(name: str, value: str) -> None:
    found = _signals(503, (name, value), (name, "3"))
    assert (found.limit, found.retry_after) == (None, None)
    assert [key.lower() for key in found.unreadable] == [name]


@pytest.mark.parametrize(
    ("status", "values", "seconds"),
    [
        (503, [], None),
        (503, ["3"], 3.0),
        (503, ["0.25"], 0.25),
        (503, ["0"], 0.0),
        (503, ["1", "4", "2"], 4.0),
        (503, ["Wed, 21 Oct 2015 07:28:00 GMT"], None),
        (200, ["3"], None),
        (429, ["3"], None),
        (500, ["3"], None),
    ],
)
def test_retry_after_is_read_from_a_503_only(
    status: int, values: list[str], seconds: float | None
) -> None:
    found = _signals(status, *[("Retry-After", value) for value in values])
    assert found.retry_after == seconds


@pytest.mark.parametrize(
    ("values", "is_leaving"),
    [([], False), (["1"], True), ([" 1"], True), (["0"], False), (["0", "1"], True)],
)
def test_leaving_header_is_decoded(values: list[str], is_leaving: bool) -> None:
    for status in (200, 503):
        found = _signals(status, *[("server-leaving", value) for value in values])
        assert found.is_leaving == is_leaving


@hypothesis.given(strategies.binary(max_size=60), strategies.binary(max_size=60))
def test_arbitrary_header_values_raise_nothing(counts: bytes, prefix: bytes) -> None:
    parsed = headers.read(
        [
            (b"cassiaquay-token-counts", counts),
            (b"cassiaquay-prompt-prefix", prefix),
            (b"cassiaquay-deadline-ms", counts),
            (b"last-event-id", prefix),
        ]
    )
    assert parsed.prompt_tokens >= 0
    assert parsed.deadline_ms >= 0


def test_platform_names_occur_only_in_platform_package() -> None:
    """A change of the platform's names must affect only the platform package."""
    spelled = re.compile(
        r"(^|[^-\w])Cassiaquay-[A-Z]|cassiaquay-[a-z]+-id|/cassiaquay/(ready|resolve|kv-)"
        r"|op/config|slo-ms|path-prefix|api-keys|gap-target"
    )
    found = []
    for path in DAEMON.rglob("*.py"):
        if "platform" in path.parts:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if spelled.search(line):
                found.append(f"{path.name}:{number}: {line.strip()}")
    assert not found
