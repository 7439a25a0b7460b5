"""Teams' limits over the whole fleet, in tokens, that hold in any partition.

Load pattern: a team sends many times its usual, through every instance at once, while
instances die or cannot hear each other. A part of what the limit allows in a window is
each instance's own share, which it spends without asking. What one needs beyond that
comes from the rest, which the limit's keeper gives out. Own shares and the rest
together are never more than the fleet may run, whoever is cut off from whom; asking
only beyond the own share keeps the keeper out of the way of ordinary requests.

Where room comes back soon, a request waits for it: refused, its caller would be back
no sooner than a fifth of a second later.

Under overload requests that have their share of the limit are refused for want of a
slot, and their callers come back. What they were given goes back, too: counted each
time, refusals would use the limit up, and a team below its limit would be refused for
being over it.
"""

import asyncio
import collections
import math
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions
from ..configured import routing
from ..decisions import buckets, shards
from ..fleet import configuration, members
from ..links import peers

# Part of the bound that is given out at all: windows here and at the servers do not
# begin at the same moment.
USED_SHARE = 0.9
# Part of that which instances may spend without asking, in a fleet of up to this many.
# In larger ones an own share would be less than one long request, and what nobody can
# spend is lost to the team: there the part shrinks, and more is asked for. The larger
# part is the keeper's: the longest prompt must fit its depth.
OWN_SHARE = 0.3
OWN_INSTANCES = 12
# A keeper that lives answers within a few round trips, of which some may go for the
# connection; an instance goes on without it.
ASK_SECONDS = 0.15
# Grants are used at once; this much later they can be in another window than here.
USE_SECONDS = 1.0
# A keeper takes back what it gave for so long: no request waits longer for a slot.
RETURN_SECONDS = 15.0
# Least part of the bound that may be spent at once: requests come in bunches.
LEAST_DEPTH_SHARE = 0.25
# Most part: where a limit is far below what its team sends, the slack is most of the
# bound, and as depth it would be spent once instead of in every window.
MOST_DEPTH_SHARE = 0.35
LEAST_RETRY_MS = 200
MOST_RETRY_MS = 4000
# A fleet that starts for the first time has spent nothing.
NOBODY_BEFORE = -math.inf


class _Question(typing.NamedTuple):
    """A question to a limit's keeper and where its answer goes."""

    keeper: str
    query: messages.QuotaQuery
    answer: asyncio.Future[messages.QuotaAnswer]


class Taken(typing.NamedTuple):
    """Units of a limit that a request has been given.

    Attributes
    ----------
    units : int
        How many.
    own : Bucket or None
        Where they were taken, when that is this instance's own share.
    keeper : str
        Instance that gave them otherwise.
    number : int
        Number of the question.
    """

    units: int
    own: buckets.Bucket | None = None
    keeper: str = ""
    number: int = 0


class _Given(typing.NamedTuple):
    """Units that this instance has given as a limit's keeper."""

    bucket: buckets.Bucket
    units: int
    at: float


class Amounts(typing.Protocol):
    """What a request says of its tokens."""

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt."""

    @property
    def most_output_tokens(self) -> int:
        """Most tokens of the answer."""

    @property
    def counts_tokens(self) -> bool:
        """Whether it says any."""


class Quotas:
    """Both sides of teams' limits at one instance.

    Parameters
    ----------
    settings : Settings
        The window and what may be passed.
    links : Peers
        Connections to keepers and owners.
    membership : Membership
        Who keeps which limit, and how many share it.
    configured : Configuration
        The limits in force.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        links: peers.Peers,
        membership: members.Membership,
        configured: configuration.Configuration,
    ):
        self._settings = settings
        self._gateway = settings.gateway
        self._membership = membership
        self._configured = configured
        self._own: dict[str, buckets.Bucket] = {}
        self._given: dict[str, buckets.Bucket] = {}
        # By the instance that asked and its number of the question, oldest first.
        self._returnable: collections.OrderedDict[tuple[str, int], _Given]
        self._returnable = collections.OrderedDict()
        self._questions: dict[int, _Question] = {}
        self._number = 0
        # What was spent before is not known: by the process that was here before, and
        # by whoever was the keeper of a limit before the last change of the members.
        self._own_from = NOBODY_BEFORE
        if not settings.gateway.first_start:
            self._own_from = clock.now()
        self._given_from = self._own_from
        links.on(messages.QuotaQuery, self._query)
        links.on(messages.QuotaAnswer, self._answer)
        links.on(messages.QuotaReturn, self._returned)
        links.on_up(self._up)
        membership.on_change(self._moved)

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Take in changed settings."""
        self._gateway = settings.gateway

    async def take(
        self, team: routing.Team | None, facts: Amounts, patience: float = 0.0
    ) -> Taken | None:
        """Count a request against its team's limit; raise LimitReached when over.

        What is returned goes to :meth:`give_back` when the request never ran; it is
        None where there is no limit.

        Parameters
        ----------
        team : Team or None
            Whose request it is.
        facts : Amounts
            What it says of its tokens.
        patience : float
            Seconds that it may wait for room.
        """
        if team is None or team.quota is None:
            return None
        units = units_of(team.quota, facts)
        own = _bucket(self._own, team.name, self._own_from)
        share = self._own_part() / self._membership.fleet_size()
        flow = self._flow(team.quota).scaled(share)
        own_wait = own.reserve(units, flow, 0.0)
        if not own_wait:
            return Taken(units, own)
        keeper = self._membership.keeper_of(_limit(team.name))
        given = await self._ask(keeper, team.name, units, min(patience, own_wait))
        if given.units:
            taken = Taken(units, keeper=keeper, number=given.number)
            return await self._wait(taken, given.wait_ms / 1000.0)
        own_wait = own.reserve(units, flow, patience)
        if own_wait <= patience:
            return await self._wait(Taken(units, own), own_wait)
        raise _refusal(team.name, own_wait * 1000.0, given.wait_ms)

    def give_back(self, taken: Taken) -> None:
        """Give back what a request took that never ran; once for each request."""
        if taken.own is not None:
            taken.own.refund(taken.units)
            return
        message = messages.QuotaReturn(taken.number)
        if taken.keeper == self._settings.instance:
            self._take_back(taken.keeper, message)
            return
        link = self._membership.link(taken.keeper)
        if link is not None:
            link.send(message)

    async def _wait(self, taken: Taken, seconds: float) -> Taken:
        """Wait for the moment of units that were taken ahead."""
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            self.give_back(taken)
            raise
        return taken

    def _own_part(self) -> float:
        """Return the part of a limit that instances spend without asking."""
        return OWN_SHARE * min(OWN_INSTANCES / self._membership.fleet_size(), 1.0)

    def _flow(self, quota: routing.Quota) -> buckets.Flow:
        """Return what the fleet may run of a team: never more than the bound a window.

        The team's own rate comes steadily at least, and about what the bound leaves
        besides may be spent at once.
        """
        gateway = self._gateway
        seconds = gateway.quota_window_seconds
        bound = (quota.rate * seconds + quota.burst) * (1.0 + gateway.quota_excess)
        if quota.counts_tokens:
            bound += gateway.quota_slack
        bound *= USED_SHARE
        seconds += USE_SECONDS
        depth = max(bound - quota.rate * seconds, bound * LEAST_DEPTH_SHARE)
        depth = min(depth, bound * MOST_DEPTH_SHARE)
        return buckets.Flow((bound - depth) / seconds, depth)

    def _moved(self) -> None:
        self._given_from = clock.now()
        for team in list(self._given):
            if self._membership.keeper_of(_limit(team)) != self._settings.instance:
                del self._given[team]

    async def _ask(
        self, keeper: str, team: str, units: int, patience: float
    ) -> messages.QuotaAnswer:
        """Return what the limit's keeper gives; no units when it gives none."""
        self._number += 1
        query = messages.QuotaQuery(self._number, team, units, int(patience * 1000.0))
        if keeper == self._settings.instance:
            return self._give(keeper, query)
        question = _Question(keeper, query, asyncio.get_running_loop().create_future())
        self._questions[query.number] = question
        link = self._membership.link(keeper)
        if link is not None:
            link.send(query)
        # Without a connection it is being dialled; the question goes out once it is up.
        try:
            async with asyncio.timeout(ASK_SECONDS):
                return await question.answer
        except TimeoutError:
            return messages.QuotaAnswer(query.number, 0)
        finally:
            del self._questions[query.number]

    def _up(self, link: peers.Link) -> None:
        for question in self._questions.values():
            if question.keeper == link.instance:
                link.send(question.query)

    def _give(self, asker: str, query: messages.QuotaQuery) -> messages.QuotaAnswer:
        """Give units of the common rest, as the limit's keeper."""
        quota = self._quota(query.team)
        if quota is None:
            return messages.QuotaAnswer(query.number, 0)
        # In a partition each part has a keeper of its own: each gives out the part of
        # the rest that belongs to the instances it can hear.
        heard = len(self._membership.alive()) / self._membership.fleet_size()
        rest = self._flow(quota).scaled((1.0 - self._own_part()) * min(heard, 1.0))
        given = _bucket(self._given, query.team, self._given_from)
        patience = query.patience_ms / 1000.0
        wait = given.reserve(query.units, rest, patience)
        wait_ms = math.ceil(min(wait * 1000.0, MOST_RETRY_MS))
        if wait > patience:
            return messages.QuotaAnswer(query.number, 0, wait_ms)
        self._note_given(asker, query, given)
        return messages.QuotaAnswer(query.number, query.units, wait_ms)

    def _note_given(
        self, asker: str, query: messages.QuotaQuery, bucket: buckets.Bucket
    ) -> None:
        now = clock.now()
        while self._returnable:
            oldest = next(iter(self._returnable))
            if self._returnable[oldest].at > now - RETURN_SECONDS:
                break
            del self._returnable[oldest]
        given = _Given(bucket, query.units, now)
        self._returnable[(asker, query.number)] = given

    def _take_back(self, asker: str, message: messages.QuotaReturn) -> None:
        # Only what this process gave, and once: the keeper before it kept its own
        # count, and room for what nobody gave would let the limit be passed. A bucket
        # that was given up with the role takes back what no one spends any more.
        given = self._returnable.pop((asker, message.number), None)
        if given is not None:
            given.bucket.refund(given.units)

    def _quota(self, team: str) -> routing.Quota | None:
        snapshot = self._configured.current
        if snapshot is None or snapshot.routes is None:
            return None
        return snapshot.routes.quotas.get(team)

    def _query(self, link: peers.Link, query: messages.QuotaQuery) -> None:
        link.send(self._give(link.instance, query))

    def _returned(self, link: shards.Replier, message: messages.QuotaReturn) -> None:
        self._take_back(link.instance, message)

    def _answer(self, link: shards.Replier, answer: messages.QuotaAnswer) -> None:
        question = self._questions.get(answer.number)
        if question is not None and not question.answer.done():
            question.answer.set_result(answer)


def units_of(quota: routing.Quota, facts: Amounts) -> int:
    """Return what a request counts under a limit."""
    if not quota.counts_tokens:
        return 1
    if not facts.counts_tokens:
        return quota.plain_units
    return facts.prompt_tokens + facts.most_output_tokens


def _refusal(team: str, own_ms: float, given_ms: int) -> exceptions.LimitReached:
    wait_ms = min(own_ms, given_ms) if given_ms else own_ms
    return exceptions.LimitReached(
        f"the limit of team {team} is reached",
        retry_after_ms=int(min(max(wait_ms, LEAST_RETRY_MS), MOST_RETRY_MS)),
    )


def _limit(team: str) -> str:
    """Return the key by which a team's limit finds its keeper."""
    return f"quota {team}"


def _bucket(
    known: dict[str, buckets.Bucket], team: str, empty_at: float
) -> buckets.Bucket:
    found = known.get(team)
    if found is None:
        found = known[team] = buckets.Bucket(empty_at)
    return found
