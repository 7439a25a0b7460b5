"""Instances that send requests to servers which this instance cannot reach.

The instance that accepted a request stays its owner: it holds the permit, decides about
retries and answers the caller. A relay sends the request to the one server that the
owner names, at most once, and never through a further instance.
"""

import hashlib
import hmac
import random
import typing
import urllib.parse

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock
from ..fleet import members

# Answer header of a relay that tells the owner what became of the request.
OUTCOME = "X-Cassiaquay-Relay"
OUTCOME_NAME = OUTCOME.lower().encode()
# The relay has sent no byte of the request and will not send any.
NOT_SENT = "not-sent"
SENT = "sent"
# The relay has sent the request and got no answer, or the server broke the connection.
LOST = "lost"
BROKEN = "broken"
# Answer header of a relay, present if the server's answer ends with its connection.
UNFRAMED = "X-Cassiaquay-Relay-Unframed"
UNFRAMED_NAME = UNFRAMED.lower().encode()
# Status of a relay's own answers; owners go by the header alone.
STATUS = 502
# Relays that are tried for one dispatch.
MAX_RELAYS = 3
# Time for which a relay that did not reach a service is tried last.
FAILED_SECONDS = 1.0
TOKEN_LENGTH = 32
# Fields of a relay's URL before the path; an empty one would be lost on the way.
FIELD_COUNT = 5
EMPTY = "-"
TOKEN_PURPOSE = b"relay"


class Target(typing.NamedTuple):
    """What a relayed request names beside the request itself.

    Attributes
    ----------
    service, server : str
        The server, and the service that it belongs to.
    content : str
        Digest of what all attempts of the request have in common.
    software : str
        Software version of the server, as its owner knows it.
    path : str
        Target of the request to the server: the path with its query.
    """

    service: str
    server: str
    content: str
    software: str
    path: str


class Relays:
    """Chooses relays among the live instances, and checks who asks for a relay.

    Parameters
    ----------
    settings : Settings
        Shared keys of the instances.
    membership : Membership
        Lists the instances and the services whose servers they do not reach.
    """

    def __init__(
        self, settings: settings_schema.Settings, membership: members.Membership
    ):
        self._settings = settings
        self._membership = membership
        self._failed_at: dict[tuple[str, str], float] = {}

    def choose(self, service: str) -> list[messages.Member]:
        """Return instances that probably reach a service, the best ones first."""
        horizon = clock.now() - FAILED_SECONDS
        fresh: list[messages.Member] = []
        failed: list[messages.Member] = []
        for member in self._membership.serving():
            if member.instance == self._settings.instance or not member.relay:
                continue
            if service in member.lost_services:
                continue
            failed_at = self._failed_at.get((member.instance, service), horizon)
            (failed if failed_at > horizon else fresh).append(member)
        random.shuffle(fresh)
        return [*fresh, *failed][:MAX_RELAYS]

    def failed(self, member: messages.Member, service: str) -> None:
        """Record that a relay did not reach a server of a service."""
        self._failed_at[(member.instance, service)] = clock.now()

    def succeeded(self, member: messages.Member, service: str) -> None:
        """Record that a relay has reached a server of a service."""
        self._failed_at.pop((member.instance, service), None)

    def url(self, member: messages.Member, target: Target) -> str:
        """Return the URL at which a relay takes a request for a server."""
        token = _token(self._settings.keys[0], member.incarnation)
        parts = [token, target.service, target.server, target.content, target.software]
        quoted = [urllib.parse.quote(part or EMPTY, safe="") for part in parts]
        return f"http://{member.relay}/{'/'.join(quoted)}{target.path}"

    def parse(self, path: str, query: str, incarnation: str) -> Target | None:
        """Return what a received path names; None if its sender has no shared key."""
        parts = path.split("/", FIELD_COUNT + 1)
        if len(parts) < FIELD_COUNT + 2:
            return None
        fields = [urllib.parse.unquote(part) for part in parts[1 : FIELD_COUNT + 1]]
        fields = ["" if field == EMPTY else field for field in fields]
        token, service, server, content, software = fields
        for key in self._settings.keys:
            if hmac.compare_digest(_token(key, incarnation).encode(), token.encode()):
                suffix = f"?{query}" if query else ""
                path = f"/{parts[-1]}{suffix}"
                return Target(service, server, content, software, path)
        return None


def without_outcome(pairs: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer without the relay's own."""
    own = (OUTCOME_NAME, UNFRAMED_NAME)
    return [pair for pair in pairs if pair[0].lower() not in own]


def _token(key: str, incarnation: str) -> str:
    """Return the proof of a shared key; it is valid for one run of a relay only."""
    body = TOKEN_PURPOSE + incarnation.encode()
    digest = hmac.new(key.encode(), body, hashlib.sha256).hexdigest()
    return digest[:TOKEN_LENGTH]
