"""Keeps the origins of streams on several instances, and asks for them.

A caller whose stream breaks off returns at any instance, and the one that served it may
be gone. Each origin is sent to two more instances before the first event goes out: in
other failure domains if there are any, chosen by a hash of the attempt, so that each
instance knows whom to ask.

Load pattern: hundreds of instances with a dozen streams a second each. A fixed number
of buckets bounds the number of connections and spreads the entries evenly; a query is
sent only for a stream that is taken up again.
"""

import asyncio
import heapq
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, rendezvous
from ..decisions import stream_origins
from ..links import peers
from . import members

BUCKETS = 64
# Instances that keep an origin besides the one that served the stream.
COPIES = 2
# Instances that are asked: more than keep it, since ranks change when others join.
ASKED = 8
# A paused instance must not delay the stream until its caller gives up.
ANSWER_TIMEOUT_SECONDS = 0.15
# Period at which a query is sent to instances whose link was not up.
RETRY_SECONDS = 0.02


class Lookup(typing.NamedTuple):
    """What this instance and those that it asked know of a stream's origin.

    Attributes
    ----------
    origin : Origin or None
        Where the stream began; None if that is not known.
    asked : int
        Number of instances that were asked.
    answered : int
        Number of those that have answered.
    is_alone : bool
        Whether the deployment has no other instance, as far as this one knows.
    """

    origin: stream_origins.Origin | None
    asked: int = 0
    answered: int = 0
    is_alone: bool = False

    @property
    def is_unknown_to_all(self) -> bool:
        """Whether all instances that may know the stream have answered: none does.

        One that does not answer may be at the other end of a partition, and know more.
        """
        if self.origin is not None or self.answered < self.asked:
            return False
        return self.asked > 0 or self.is_alone


class _Query:
    """One query and the instances that have not answered it."""

    def __init__(self, instances: list[str]):
        self.future: asyncio.Future[stream_origins.Origin | None]
        self.future = asyncio.get_running_loop().create_future()
        self.unsent = set(instances)
        self.unanswered = set(instances)

    def answer(self, instance: str, origin: stream_origins.Origin | None) -> None:
        """Handle an answer; the first positive one ends the query."""
        self.unanswered.discard(instance)
        if self.future.done():
            return
        if origin is not None or not self.unanswered:
            self.future.set_result(origin)


class StreamOrigins:
    """The origins that this instance knows, and those that others keep for it.

    Parameters
    ----------
    settings : Settings
        Name and failure domain of this instance.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Lists the instances.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
    ):
        self._settings = settings
        self._membership = membership
        # Origins of the streams that this instance served.
        self._own = stream_origins.Origins()
        # Origins that it keeps for others.
        self._kept = stream_origins.Origins()
        self._queries: dict[int, _Query] = {}
        self._query_count = 0
        # Instances by bucket, the responsible ones first.
        self._ranked: dict[int, list[messages.Member]] = {}
        membership.on_change(self._ranked.clear)
        links.on(messages.StreamOrigin, self._keep)
        links.on(messages.OriginQuery, self._answer)
        links.on(messages.OriginAnswer, self._handle_answer)
        links.on_up(self._send_all)

    def __len__(self) -> int:
        return len(self._own) + len(self._kept)

    def has_missing(self, seconds: float) -> bool:
        """Return whether an instance is silent that was heard some seconds ago.

        It may be cut off and have begun streams by a list that no other instance knows.
        """
        return self._membership.facts.has_missing(seconds)

    def add(self, key: int, origin: stream_origins.Origin, lifetime: float) -> None:
        """Record where a stream of this instance began, here and at its keepers."""
        self._own.add(key, origin, lifetime)
        message = _message(key, origin, lifetime)
        for member in self._keepers(key):
            link = self._membership.link(member.instance)
            if link is not None:
                link.send(message)

    async def find(self, key: int) -> Lookup:
        """Return what is known here and at reachable instances of a stream's origin."""
        origin = self._own.find(key) or self._kept.find(key)
        if origin is not None:
            return Lookup(origin)
        instances = [member.instance for member in self._rank(key)]
        if not instances:
            return Lookup(None, is_alone=self._membership.fleet_size() <= 1)
        self._query_count += 1
        number = self._query_count
        query = self._queries[number] = _Query(instances)
        try:
            origin = await self._ask(messages.OriginQuery(number, key), query)
        finally:
            del self._queries[number]
        answered = len(instances) - len(query.unanswered)
        return Lookup(origin, len(instances), answered)

    async def _ask(
        self, message: messages.OriginQuery, query: _Query
    ) -> stream_origins.Origin | None:
        ends_at = clock.now() + ANSWER_TIMEOUT_SECONDS
        while clock.now() < ends_at:
            for instance in sorted(query.unsent):
                link = self._membership.link(instance)
                if link is not None and link.send(message):
                    query.unsent.discard(instance)
            await asyncio.wait([query.future], timeout=RETRY_SECONDS)
            if query.future.done():
                return query.future.result()
        return None

    def _keep(self, link: peers.Link, message: messages.StreamOrigin) -> None:
        origin = _origin(message)
        self._kept.add(message.key, origin, message.lifetime_ms / 1000.0)

    def _answer(self, link: peers.Link, query: messages.OriginQuery) -> None:
        origin = self._own.find(query.key) or self._kept.find(query.key)
        if origin is None:
            link.send(messages.OriginAnswer(query.number, False))
            return
        link.send(messages.OriginAnswer(query.number, True, *origin))

    def _handle_answer(self, link: peers.Link, message: messages.OriginAnswer) -> None:
        query = self._queries.get(message.number)
        if query is None:
            return
        origin = None
        if message.is_known:
            origin = _origin(message)
        query.answer(link.instance, origin)

    def _send_all(self, link: peers.Link) -> None:
        # An instance that was restarted has lost what it kept.
        for key, origin, lifetime in self._own.items():
            names = [member.instance for member in self._keepers(key)]
            if link.instance in names:
                link.send(_message(key, origin, lifetime))

    def _rank(self, key: int) -> list[messages.Member]:
        """Return the instances to ask for an origin, the responsible ones first."""
        bucket = key % BUCKETS
        if bucket not in self._ranked:
            others = []
            for member in self._membership.serving():
                if member.instance != self._settings.instance:
                    others.append(member)
            name = f"origins#{bucket}"
            self._ranked[bucket] = heapq.nlargest(
                ASKED, others, key=lambda item: rendezvous.score(name, item.instance)
            )
        return self._ranked[bucket]

    def _keepers(self, key: int) -> list[messages.Member]:
        """Return the instances that keep an origin of this instance.

        No failure domain holds all copies if there are two domains or more.
        """
        chosen: list[messages.Member] = []
        domains = {self._settings.domain}
        ranked = self._rank(key)
        for member in ranked:
            if member.domain not in domains and len(chosen) < COPIES:
                chosen.append(member)
                domains.add(member.domain)
        for member in ranked:
            if member not in chosen and len(chosen) < COPIES:
                chosen.append(member)
        return chosen


def _message(
    key: int, origin: stream_origins.Origin, lifetime: float
) -> messages.StreamOrigin:
    return messages.StreamOrigin(
        key,
        origin.service,
        origin.software,
        int(lifetime * 1000.0),
        origin.server,
        origin.started_ms,
    )


def _origin(
    message: messages.StreamOrigin | messages.OriginAnswer,
) -> stream_origins.Origin:
    return stream_origins.Origin(
        message.service, message.software, message.server, message.started_ms
    )
