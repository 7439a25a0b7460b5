"""Obtains capacity for requests, again and again for those that servers have received.

The retry budget is spent when a ticket is used, and given back if nothing is sent: a
request that waits for capacity takes no retry from others.
"""

import asyncio
import collections.abc

from .. import clock, exceptions
from ..decisions import budgets, repeats
from . import admission, progress

# Cause of a lost answer when other requests have spent the retry budget.
SPENT = "the budget of repeats is spent"
# Retry-After when all servers tried declined the request or could not be reached.
UNREACHABLE_RETRY_MS = 300

Obtain = collections.abc.Callable[
    [progress.RequestState],
    collections.abc.Coroutine[None, None, admission.Ticket],
]
Check = collections.abc.Callable[[progress.RequestState], None]


class Repeats:
    """Obtains capacity and retries for the requests of one handler.

    Parameters
    ----------
    obtain : callable
        Requests capacity once.
    budget : RetryBudget
        Limits retries.
    check : callable
        Raises Refusal if no further server may get a request.
    """

    def __init__(self, obtain: Obtain, budget: budgets.RetryBudget, check: Check):
        self._obtain = obtain
        self._budget = budget
        self._check = check

    async def obtain_once(self, state: progress.RequestState) -> admission.Ticket:
        """Return a ticket; raise Refusal or NotSent if there is none now."""
        if state.is_repeat and not state.search_began_at:
            state.search_began_at = clock.now()
        state.tries += 1
        return await self._obtain(state)

    async def obtain(self, state: progress.RequestState) -> admission.Ticket:
        """Return a ticket; after a refusal, ask again while that is of use.

        A request that no server has received is refused at once: its caller has more
        time to be served elsewhere.
        """
        while True:
            self.check(state)
            try:
                return await self.obtain_once(state)
            except exceptions.InstanceLeaving:
                raise
            except exceptions.Refusal:
                if not self.may_ask_again(state):
                    raise
            await asyncio.sleep(self.interval_seconds(state))

    def check(self, state: progress.RequestState) -> None:
        """Raise Refusal if a repeat must not be sent now."""
        if not state.is_repeat:
            return
        self._check(state)
        if self._budget.is_spent(state.call.service):
            raise spent_refusal(state)

    def may_ask_again(self, state: progress.RequestState) -> bool:
        """Return whether a request that was refused capacity should ask again."""
        if not state.is_repeat or state.may_close:
            return False
        return repeats.may_ask_again(_search(state))

    def interval_seconds(self, state: progress.RequestState) -> float:
        """Return the time from a refusal to the next request for capacity."""
        return repeats.interval_seconds(_search(state))

    def take(self, state: progress.RequestState) -> bool:
        """Spend a retry for a repeat that is about to be sent."""
        return self._budget.take(state.call.service)

    def give_back(self, state: progress.RequestState) -> None:
        """Return the retry of a repeat that was not sent."""
        self._budget.give_back(state.call.service)


def spent_refusal(state: progress.RequestState) -> exceptions.Refusal:
    """Return the refusal of a request for which no retry is left."""
    if state.may_have_run:
        return exceptions.AnswerLost(SPENT)
    return unserved_refusal(state)


def unserved_refusal(state: progress.RequestState) -> exceptions.Refusal:
    """Return the refusal of a request that no server has taken."""
    if state.may_have_run:
        return exceptions.AnswerLost()
    return exceptions.ServerDeclined(
        "no server took it", retry_after_ms=UNREACHABLE_RETRY_MS
    )


def _search(state: progress.RequestState) -> repeats.Search:
    call = state.call
    searched_seconds = 0.0
    if state.search_began_at:
        searched_seconds = clock.now() - state.search_began_at
    return repeats.Search(
        state.may_have_run,
        state.failure is not None and not state.started,
        searched_seconds,
        call.objective_seconds_left,
        call.seconds_left,
    )
