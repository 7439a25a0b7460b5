"""One request from its first attempt to its final outcome.

Attempts go under one id, at any address, until an outcome is known: the id is
what keeps a repeated attempt from being a second run. A new id is formed only
after ``not_run``, or after ``outcome_unknown`` when a second run is harmless.
"""

import asyncio
import collections.abc
import contextlib
import uuid

import msgspec

from . import (
    adapters,
    attempts,
    channels,
    deadlines,
    exceptions,
    hooks,
    ids,
    models,
    retries,
    streams,
)

BUDGET_SPENT = "retry_budget_spent"
ATTEMPTS_SPENT = "attempts_spent"
UNKNOWN_ID = "unknown_id"


class Exchange:
    """One request of a session.

    Parameters
    ----------
    session : Channel
        Gives addresses, transports, budget and hooks.
    request : models.Request
        What to send.
    streamed : bool
        The application takes events as they come, so an answer partly given is
        never followed by the text of another id.
    """

    def __init__(
        self, session: channels.Channel, request: models.Request, *, streamed: bool
    ) -> None:
        self.request_id = ""
        self.transcript = streams.Transcript()
        self._session = session
        self._request = request
        self._streamed = streamed
        self._call = uuid.uuid4().hex
        self._deadline = deadlines.Deadline(request.timeout)
        self._backoff = retries.Backoff(session.settings)
        self._attempts = 0
        # Given to the application; text of no other id may follow.
        self._given: list[str] = []
        self._address = ""
        self._owner = ""
        self._accepted = False
        self._reread = False
        self._sent = 0
        self._seen = False
        self._refusal: exceptions.NotRun | None = None
        self._doubtful = False
        self._restarted = False

    async def run(self) -> collections.abc.AsyncGenerator[str, None]:
        """Yield the ``data:`` values in order; ends only when they are whole.

        Raises
        ------
        CassiaquayError
            One of the typed errors when there is no whole answer.
        """
        self._session.budget.earn()
        try:
            async with contextlib.aclosing(self._run()) as events:
                async for data in events:
                    yield data
        except TimeoutError:
            raise await self._give_up() from None
        except exceptions.NotRun as error:
            if not self._doubtful:
                raise
            # The id refused last did not run, yet one before it may have.
            raise exceptions.OutcomeUnknown(
                f"an earlier id may have run; then: {error}",
                code=error.code,
                request_id=self.request_id,
            ) from error
        except (asyncio.CancelledError, GeneratorExit):
            # The application has gone: work that waits for it is a waste.
            if self.request_id:
                self._session.cancel_later(self.request_id, self._address)
            raise

    async def _run(self) -> collections.abc.AsyncGenerator[str, None]:
        await self._form_id("")
        while True:
            self._attempts += 1
            before = self.transcript.count
            verdict: models.Outcome | None = None
            async with contextlib.aclosing(self._attempt()) as parts:
                async for part in parts:
                    if isinstance(part, models.Outcome):
                        verdict = part
                        continue
                    if self._is_new(part):
                        yield part
            if verdict is None:
                await self._go_on(progress=self.transcript.count > before)
                continue
            self._report(verdict)
            if verdict.outcome == models.COMPLETED:
                if self._check(verdict):
                    return
                continue
            if verdict.outcome == models.FAILED:
                raise self._failed(verdict)
            if verdict.outcome == models.NOT_RUN:
                await self._restart_refused(verdict)
                continue
            await self._settle_unknown(verdict)

    async def _form_id(self, hint: str, avoid: str = "") -> None:
        chosen = await self._choose(hint, avoid)
        self.request_id = ids.form_id(chosen.token)
        self._refusal = None
        self._sent = 0
        self._seen = False
        self._address = self._owner = chosen.address
        self._accepted = self._reread = False
        self.transcript = streams.Transcript()

    async def _choose(
        self, hint: str, avoid: str, *, fresh: bool = True
    ) -> models.Address:
        book = self._session.addresses
        while True:
            try:
                return await self._deadline.bound(
                    book.choose(hint=hint, avoid=avoid, fresh=fresh)
                )
            except exceptions.NoAddress:
                self._attempts += 1
                if not self._may_spend():
                    raise
            await self._pause(0.0)

    async def _attempt(
        self,
    ) -> collections.abc.AsyncGenerator[str | models.Outcome, None]:
        """Yield new events, then the outcome unless the attempt broke off."""
        self._sent += 1
        attempt = attempts.Attempt(
            self._session, self._deadline, self.request_id, self._address
        )
        running = attempt.run(self._form_call(), self.transcript)
        async with contextlib.aclosing(running) as parts:
            async for part in parts:
                self._accepted = True
                yield part
        self._accepted = self._accepted or attempt.accepted
        self._seen = self._seen or not attempt.unsent
        if attempt.refusal is not None:
            yield self._judge(attempt.refusal)

    def _form_call(self) -> adapters.Call:
        start = self.transcript.count
        method = "GET" if self._accepted else "POST"
        url = f"http://{self._address}/v1/requests/{self.request_id}?from={start}"
        self._session.hooks.dispatch(
            hooks.ATTEMPT,
            hooks.Attempt(
                self.request_id,
                self._address,
                method,
                start,
                self._call,
                self._request.body.get("idempotent", True),
            ),
        )
        if self._accepted:
            return self._session.form_call(method, url)
        body = self._request.body.copy()
        body["deadline_ms"] = max(1, int(self._deadline.left * 1000))
        return self._session.form_call(method, url, msgspec.json.encode(body))

    def _judge(self, refusal: models.Outcome) -> models.Outcome:
        """Return the outcome that a status other than 200 tells; raise for 4xx."""
        if refusal.outcome in _UNSETTLED:
            return refusal
        if 400 <= refusal.status < 500 and refusal.status != 429:
            if refusal.code == UNKNOWN_ID and refusal.outcome:
                return refusal
            raise self._blame(refusal)
        return refusal

    def _blame(self, refusal: models.Outcome) -> exceptions.CassiaquayError:
        """Return the error for a 4xx status, which may be about a retry only."""
        kind: type[exceptions.CassiaquayError] = exceptions.BadRequest
        repeated = self._sent > 1 and refusal.outcome != models.NOT_RUN
        if self._accepted or repeated:
            # An earlier attempt under this id was taken, so it may have run.
            kind = exceptions.OutcomeUnknown
        else:
            self._report(refusal)
        message = refusal.message or f"status {refusal.status}"
        return kind(message, code=refusal.code, request_id=self.request_id)

    def _is_new(self, data: str) -> bool:
        """Tell whether the application lacks this event; raise if it differs."""
        if not self._streamed:
            return False
        place = self.transcript.count - 1
        if place >= len(self._given):
            self._given.append(data)
            return True
        if self._given[place] != data:
            raise self._not_whole("an event read again differs from the one given")
        return False

    def _check(self, verdict: models.Outcome) -> bool:
        """Tell whether the answer is whole; allow one reading from event 0."""
        whole = self.transcript.is_whole(verdict.event_count, verdict.digest)
        if whole and len(self._given) <= self.transcript.count:
            self._session.acknowledge_later(self.request_id, self._address)
            return True
        if self._reread:
            raise self._not_whole("count or digest differ, also when read again")
        self._reread = True
        self.transcript = streams.Transcript()
        return False

    async def _go_on(self, *, progress: bool, hint: str = "") -> None:
        """After a cut: the same id, at the same address once, then at others.

        An id that never left the caller is dropped: its owner has stopped or died, so
        any other instance would have to say ``outcome_unknown`` of a request that
        nobody was ever sent.
        """
        if progress:
            # Reading on what was made already adds no load worth a budget.
            self._attempts = 0
            self._backoff.reset()
            return
        # The first repeat is free of the budget: it attaches to the same answer,
        # and a dead instance would else cost the answers of all but a few callers.
        if self._attempts > 1:
            self._spend("the attempts broke off")
        await self._pause(0.0)
        if not self._seen:
            await self._form_id(hint, avoid=self._address)
            return
        self._address = (await self._choose(hint, self._address, fresh=False)).address

    async def _restart_refused(self, verdict: models.Outcome) -> None:
        self._forbid_mixing(verdict)
        if verdict.code not in _OVERLOAD:
            # The token may be of a process that is gone or leaving.
            self._session.addresses.invalidate()
        delay = self._backoff.next_delay(verdict.retry_after)
        error = exceptions.NotRun(
            verdict.message or verdict.code,
            code=verdict.code,
            request_id=self.request_id,
            retry_after=verdict.retry_after,
        )
        if delay >= self._deadline.left or not self._may_move(verdict):
            raise error
        self._refusal = error
        await self._deadline.bound(asyncio.sleep(delay))
        # A refusing address is worth avoiding unless it is the only one.
        await self._form_id(verdict.address, avoid=self._address)

    async def _settle_unknown(self, verdict: models.Outcome) -> None:
        """Ask the owner what became of the id, then go on, restart or raise."""
        self._session.addresses.invalidate()
        told = await self._deadline.bound(self._session.outcome(self.request_id))
        if told.outcome == models.FAILED:
            raise self._failed(told)
        if told.outcome == models.NOT_RUN:
            self._report(told)
            await self._restart_refused(told)
            return
        if told.outcome == models.COMPLETED or told.state in models.UNDER_WAY:
            self._accepted = True
            await self._go_on(progress=False, hint=self._owner)
            return
        if not self._request.may_restart:
            raise exceptions.OutcomeUnknown(
                verdict.message or "the request may have run",
                code=verdict.code,
                request_id=self.request_id,
            )
        self._forbid_mixing(verdict)
        if verdict.code not in _OWNER_LOST or self._restarted:
            self._spend(verdict.message or verdict.code)
        # The first restart after the owner's death is free of the budget: its queue is
        # gone too, so the new id replaces work and adds none.
        self._restarted = True
        self._doubtful = True
        await self._pause(verdict.retry_after)
        await self._form_id(verdict.address, avoid=self._owner)

    def _forbid_mixing(self, verdict: models.Outcome) -> None:
        # Two runs of one prompt give two texts; half of each is an answer to
        # nothing. The application has to see the break.
        if not self._given:
            return
        raise exceptions.AnswerNotWhole(
            f"{len(self._given)} events were given, then: {verdict.code}",
            request_id=self.request_id,
        )

    def _may_spend(self) -> bool:
        if self._attempts >= self._session.settings.max_attempts:
            return False
        return self._session.budget.spend()

    def _may_move(self, verdict: models.Outcome) -> bool:
        # A leaving instance hands all its waiting work back at once. Sent on, that work
        # adds nothing to the load, so a budget made against overload must not lose it.
        if verdict.code in _HANDED_BACK:
            return self._attempts < self._session.settings.max_attempts
        return self._may_spend()

    def _spend(self, message: str) -> None:
        """Take one retry. Raises OutcomeUnknown when none is left."""
        if self._may_spend():
            return
        code = BUDGET_SPENT
        if self._attempts >= self._session.settings.max_attempts:
            code = ATTEMPTS_SPENT
        # Nobody will read the answer, so waiting work is given up.
        self._session.cancel_later(self.request_id, self._address)
        raise exceptions.OutcomeUnknown(message, code=code, request_id=self.request_id)

    async def _pause(self, retry_after: float) -> None:
        delay = self._backoff.next_delay(retry_after)
        await self._deadline.bound(asyncio.sleep(delay))

    def _failed(self, verdict: models.Outcome) -> exceptions.Failed:
        message = verdict.message or verdict.code
        return exceptions.Failed(message, code=verdict.code, request_id=self.request_id)

    def _not_whole(self, message: str) -> exceptions.AnswerNotWhole:
        return exceptions.AnswerNotWhole(message, request_id=self.request_id)

    def _report(self, verdict: models.Outcome) -> None:
        self._session.hooks.dispatch(
            hooks.OUTCOME,
            hooks.Outcome(self.request_id, verdict.outcome, verdict.code, "instance"),
        )

    async def _give_up(self) -> exceptions.CassiaquayError:
        """Cancel after the deadline and return the error that tells the truth."""
        if self._refusal is not None and not self._doubtful:
            return self._refusal
        if not self.request_id:
            return exceptions.NoAddress("no address came before the deadline")
        told = await self._session.cancel(self.request_id)
        if told.outcome == models.NOT_RUN and not self._doubtful:
            self._report(told)
            return exceptions.NotRun(
                "cancelled at the deadline before it ran",
                code=told.code,
                request_id=self.request_id,
            )
        return exceptions.Timeout(
            "the deadline passed; the outcome is unknown", request_id=self.request_id
        )


_UNSETTLED = frozenset({models.OUTCOME_UNKNOWN})
_OVERLOAD = frozenset(
    {
        "shed_overload",
        "deadline_infeasible",
        "limit_reached",
        "table_full",
        "dependency_unavailable",
    }
)
_HANDED_BACK = frozenset({"instance_leaving"})
_OWNER_LOST = frozenset({"owner_gone"})
