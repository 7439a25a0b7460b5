"""Teams' limits over the whole fleet, in tokens, that hold in any partition.

Load pattern: a team sends many times its usual, through every instance at once, while
instances die or cannot hear each other. A part of what the limit allows in a window is
each instance's own share, which it spends without asking. What one needs beyond that
comes from the rest, which the limit's keeper gives out. Own shares and the rest
together are never more than the fleet may run, whoever is cut off from whom; asking
only beyond the own share keeps the keeper out of the way of ordinary requests.
"""

import asyncio
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import exceptions
from ..configured import routing
from ..decisions import shards, windows
from ..fleet import configuration, members
from ..links import peers

# Part of the bound that is given out at all: windows here and at the servers do not
# begin at the same moment.
USED_SHARE = 0.9
# Part of that which instances may spend without asking, in a fleet of up to this many.
# In larger ones an own share would be less than one long request, and what nobody can
# spend is lost to the team: there the part shrinks, and more is asked for.
OWN_SHARE = 0.55
OWN_INSTANCES = 12
# A keeper that lives answers within a few round trips; an instance goes on without it.
ASK_SECONDS = 0.15
# Grants are used at once; this much later they can be in another window than here.
USE_SECONDS = 1.0
LEAST_RETRY_MS = 200
MOST_RETRY_MS = 4000


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
        self._own: dict[str, windows.Window] = {}
        self._given: dict[str, windows.Window] = {}
        self._questions: dict[int, asyncio.Future[int]] = {}
        self._number = 0
        links.on(messages.QuotaQuery, self._query)
        links.on(messages.QuotaAnswer, self._answer)
        membership.on_change(self._moved)

    def adopt(self, settings: settings_schema.Settings) -> None:
        """Take in changed settings."""
        self._gateway = settings.gateway

    async def take(self, team: routing.Team | None, facts: Amounts) -> None:
        """Count a request against its team's limit; raise LimitReached when over."""
        if team is None or team.quota is None:
            return
        units = units_of(team.quota, facts)
        bound = self._bound(team.quota)
        own = self._window(self._own, team.name, 0.0)
        share = bound * self._own_part() / self._membership.fleet_size()
        share *= self._known_share(own)
        if own.sum() + units <= share:
            own.add(units)
            return
        if await self._ask(team.name, units):
            return
        wait = own.room_after(units, share)
        retry_ms = min(max(wait * 1000.0, LEAST_RETRY_MS), MOST_RETRY_MS)
        raise exceptions.LimitReached(
            f"the limit of team {team.name} is reached", retry_after_ms=int(retry_ms)
        )

    def _own_part(self) -> float:
        """Return the part of a limit that instances spend without asking."""
        return OWN_SHARE * min(OWN_INSTANCES / self._membership.fleet_size(), 1.0)

    def _bound(self, quota: routing.Quota) -> float:
        """Return what the fleet may run of a team in one window."""
        gateway = self._gateway
        limit = quota.rate * gateway.quota_window_seconds + quota.burst
        bound = limit * (1.0 + gateway.quota_excess)
        if quota.counts_tokens:
            bound += gateway.quota_slack
        return bound * USED_SHARE

    def _known_share(self, window: windows.Window) -> float:
        """Return the part of a window's amount that is certainly unspent.

        A process that was killed and started again, or a keeper that has just taken
        over, does not know what was spent within this window before. All processes
        killed at once would let a team run twice its limit; counting the unknown part
        as spent costs little, since most teams use far less than their limit.
        """
        if self._gateway.first_start:
            return 1.0
        return 1.0 - window.unknown_share

    def _moved(self) -> None:
        for team in list(self._given):
            if self._membership.keeper_of(f"quota {team}") != self._settings.instance:
                del self._given[team]

    async def _ask(self, team: str, units: int) -> bool:
        keeper = self._membership.keeper_of(f"quota {team}")
        if keeper == self._settings.instance:
            return self._give(team, units)
        link = self._membership.link(keeper)
        if link is None:
            return False
        self._number += 1
        number = self._number
        question: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._questions[number] = question
        link.send(messages.QuotaQuery(number, team, units))
        try:
            async with asyncio.timeout(ASK_SECONDS):
                return bool(await question)
        except TimeoutError:
            return False
        finally:
            del self._questions[number]

    def _give(self, team: str, units: int) -> bool:
        """Give units of the common rest, as the limit's keeper; return whether."""
        quota = self._quota(team)
        if quota is None:
            return False
        # In a partition each part has a keeper of its own: each gives out the part of
        # the rest that belongs to the instances it can hear.
        heard = len(self._membership.alive()) / self._membership.fleet_size()
        given = self._window(self._given, team, USE_SECONDS)
        rest = self._bound(quota) * (1.0 - self._own_part()) * min(heard, 1.0)
        rest *= self._known_share(given)
        if given.sum() + units > rest:
            return False
        given.add(units)
        return True

    def _quota(self, team: str) -> routing.Quota | None:
        snapshot = self._configured.current
        if snapshot is None or snapshot.routes is None:
            return None
        return snapshot.routes.quotas.get(team)

    def _query(self, link: peers.Link, query: messages.QuotaQuery) -> None:
        given = self._give(query.team, query.units)
        link.send(messages.QuotaAnswer(query.number, query.units if given else 0))

    def _answer(self, link: shards.Replier, answer: messages.QuotaAnswer) -> None:
        question = self._questions.get(answer.number)
        if question is not None and not question.done():
            question.set_result(answer.units)

    def _window(
        self, known: dict[str, windows.Window], team: str, more: float
    ) -> windows.Window:
        seconds = self._gateway.quota_window_seconds + more
        return windows.window_of(known, team, seconds)


def units_of(quota: routing.Quota, facts: Amounts) -> int:
    """Return what a request counts under a limit."""
    if not quota.counts_tokens:
        return 1
    if not facts.counts_tokens:
        return quota.plain_units
    return facts.prompt_tokens + facts.most_output_tokens
