"""Headers of callers' requests and of backend servers' answers, decoded once."""

import collections.abc
import typing

import xxhash

from cassiaquay_schema import messages

Headers = collections.abc.Iterable[tuple[bytes, bytes]]
Pairs = list[tuple[str, str]]

ATTEMPT = b"cassiaquay-attempt-id"
# Milliseconds that the caller still waits, no point in time.
DEADLINE = b"cassiaquay-deadline-ms"
KEY = b"api-key"
MODEL = b"cassiaquay-model"
COUNTS = b"cassiaquay-token-counts"
PREFIX = b"cassiaquay-prompt-prefix"
LENGTH_HINT = b"cassiaquay-length-hint"
LAST_EVENT = b"last-event-id"
EXPECT_SERVER = "Cassiaquay-Expect-Instance"
TEAM = "Cassiaquay-Tenant"
# On an answer: the server did not begin to work on the request.
NOT_EXECUTED = "Cassiaquay-Not-Executed"

# Headers that only this system may set towards a server. What a caller sends under
# these names is dropped: it could pin memory, claim another's capacity or its team.
_RESERVED = {
    KEY,
    DEADLINE,
    LAST_EVENT,
    b"cassiaquay-tenant",
    b"cassiaquay-expect-instance",
    b"cassiaquay-expect-version",
    b"cassiaquay-not-executed",
    b"cassiaquay-instance-id",
    b"cassiaquay-response-seal",
    b"cassiaquay-hold",
    b"cassiaquay-pin-ms",
    b"cassiaquay-kv-backup",
    b"kv-fetch",
    b"kv-from",
    b"wait-ms",
}
# Headers of one connection, which a proxy must not pass on (RFC 9110, 7.6.1).
_HOP_BY_HOP = {
    b"connection",
    b"proxy-connection",
    b"keep-alive",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
    b"proxy-authorization",
    b"proxy-authenticate",
}
_HOP_BY_HOP_RESPONSE = {name.decode() for name in _HOP_BY_HOP} - {"content-length"}

MAX_TOKENS = 100_000_000
MAX_PROMPT_PARTS = 64


class ParsedHeaders(typing.NamedTuple):
    """What a caller's headers say of its request.

    Attributes
    ----------
    host : str
        Host that it asked for, without a port.
    attempt : str
        The caller's id of this attempt; empty when there is none.
    deadline_ms : int
        Milliseconds that the caller waits; 0 when it does not say.
    key : str
        Its API key, or empty.
    prompt_tokens, most_output_tokens : int
        Tokens of the prompt, and the most of the answer; both 0 for other requests.
    output_tokens : int
        The caller's estimate of the answer's tokens, or the most.
    parts : list of PromptPart
        Parts of the prompt, chained, so that equal keys mean equal prompts so far.
    last_event : int
        Number of the last event that the caller has; -1 for a new stream.
    """

    host: str
    attempt: str
    deadline_ms: int
    key: str
    prompt_tokens: int
    most_output_tokens: int
    output_tokens: int
    parts: list[messages.PromptPart]
    last_event: int

    @property
    def counts_tokens(self) -> bool:
        """Whether the caller said how many tokens the request has."""
        return bool(self.prompt_tokens or self.most_output_tokens)


def read(headers: Headers) -> ParsedHeaders:
    """Return what the headers say; what cannot be read counts as not said."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        found.setdefault(name, value)
    host = found.get(b"host", b"").decode("latin-1").lower()
    counts = found.get(COUNTS, b"").split(b",")
    prompt_tokens = _number(counts[0], 0)
    most = _number(counts[1], 0) if len(counts) > 1 else 0
    hint = min(_number(found.get(LENGTH_HINT, b""), most), most) or most
    return ParsedHeaders(
        host.partition(":")[0],
        found.get(ATTEMPT, b"").decode("latin-1"),
        _number(found.get(DEADLINE, b""), 0),
        found.get(KEY, b"").decode("latin-1"),
        prompt_tokens,
        most,
        hint,
        _parts(found.get(MODEL, b""), found.get(PREFIX, b"")),
        _number(found.get(LAST_EVENT, b""), -1),
    )


def towards_server(
    headers: Headers, server: str, team: str, left_ms: int, last_event: int
) -> Pairs:
    """Return the headers with which a request goes to a backend server.

    Parameters
    ----------
    headers : iterable of pairs
        As the caller sent them, names in lower case.
    server : str
        Id of the server that is meant; another one at its address refuses.
    team : str
        Team of the key; empty on public routes.
    left_ms : int
        Milliseconds that are left.
    last_event : int
        Event after which a stream goes on; -1 for its beginning.
    """
    dropped = _RESERVED | _HOP_BY_HOP | _connection_options(headers)
    found: Pairs = []
    for name, value in headers:
        if name not in dropped:
            found.append((name.decode("latin-1"), value.decode("latin-1")))
    found.append((DEADLINE.decode(), str(max(left_ms, 1))))
    found.append((EXPECT_SERVER, server))
    if team:
        found.append((TEAM, team))
    if last_event >= 0:
        found.append((LAST_EVENT.decode(), str(last_event)))
    return found


def towards_caller(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a server's answer as its caller gets them."""
    found = []
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP_RESPONSE:
            found.append((name.encode("latin-1"), value.encode("latin-1")))
    return found


def _connection_options(headers: Headers) -> set[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name != b"connection":
            continue
        for token in value.split(b","):
            token = token.strip().lower()
            # What identifies the request stays, whatever the caller lists.
            if not token.startswith(b"cassiaquay-"):
                named.add(token)
    return named


def _parts(model: bytes, text: bytes) -> list[messages.PromptPart]:
    found: list[messages.PromptPart] = []
    chain = xxhash.xxh3_64_intdigest(model)
    for piece in text.split(b",")[:MAX_PROMPT_PARTS]:
        name, _, count = piece.strip().rpartition(b":")
        tokens = _number(count, 0)
        if not name or not tokens:
            continue
        chain = xxhash.xxh3_64_intdigest(chain.to_bytes(8, "big") + name)
        found.append(messages.PromptPart(chain, tokens))
    return found


def _number(text: bytes, default: int) -> int:
    text = text.strip()
    if not text.isdigit() or len(text) > 12:
        return default
    return min(int(text), MAX_TOKENS)
