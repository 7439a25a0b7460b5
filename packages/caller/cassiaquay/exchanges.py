"""One request from its first attempt to its final outcome.

All attempts use one request id, at any address, until the outcome is known: the id
prevents a repeated attempt from becoming a second run. A new id is formed only after
``not_run``, or after ``outcome_unknown`` when a second run is harmless.
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
    """One request of a session, with its retries.

    Parameters
    ----------
    session : Channel
        Provides addresses, transports, the retry budget and hooks.
    request : models.Request
        The request to send.
    streamed : bool
        Yield events to the application as they arrive. After the first one, the
        answer can no longer be replaced by that of another id.
    """

    def __init__(
        self, session: channels.Channel, request: models.Request, *, streamed: bool
    ) -> None:
        self.request_id = ""
        self.transcript = streams.Transcript()
        self._session = session
        self._request = request
        self._streamed = streamed
        self._call_id = uuid.uuid4().hex
        self._deadline = deadlines.Deadline(request.timeout)
        self._backoff = retries.Backoff(session.settings)
        self._attempts = 0
        # Events yielded to the application; the answer of another id can't follow.
        self._yielded: list[str] = []
        self._address = ""
        self._owner = ""
        self._accepted = False
        self._is_reread = False
        self._attempts_under_id = 0
        self._may_be_received = False
        self._refusal: exceptions.NotRun | None = None
        self._may_have_run_before = False
        self._has_restarted = False

    async def run(self) -> collections.abc.AsyncGenerator[str, None]:
        """Yield the ``data:`` values in order; returns only after a whole answer.

        Raises
        ------
        CassiaquayError
            The subclass that describes why there is no whole answer.
        """
        self._session.budget.earn()
        try:
            async with contextlib.aclosing(self._run()) as events:
                async for data in events:
                    yield data
        except TimeoutError:
            raise await self._cancel_at_deadline() from None
        except exceptions.NotRun as error:
            if not self._may_have_run_before:
                raise
            # The last id did not run, but an earlier id of this request may have.
            raise exceptions.OutcomeUnknown(
                f"an earlier id may have run; then: {error}",
                code=error.code,
                request_id=self.request_id,
            ) from error
        except (asyncio.CancelledError, GeneratorExit):
            # The application no longer reads the answer, so the request is cancelled.
            if self.request_id:
                self._session.cancel_later(self.request_id, self._address)
            raise

    async def _run(self) -> collections.abc.AsyncGenerator[str, None]:
        await self._start_new_id("")
        while True:
            self._attempts += 1
            before = self.transcript.count
            result: models.Outcome | None = None
            async with contextlib.aclosing(self._attempt()) as parts:
                async for part in parts:
                    if isinstance(part, models.Outcome):
                        result = part
                        continue
                    if self._is_new(part):
                        yield part
            if result is None:
                await self._prepare_retry(progress=self.transcript.count > before)
                continue
            self._report_outcome(result)
            if result.outcome == models.COMPLETED:
                if self._check_answer(result):
                    return
                continue
            if result.outcome == models.FAILED:
                raise self._form_failed_error(result)
            if result.outcome == models.NOT_RUN:
                await self._restart_after_refusal(result)
                continue
            await self._resolve_unknown(result)

    async def _start_new_id(self, hint: str, avoid: str = "") -> None:
        chosen = await self._choose(hint, avoid)
        self.request_id = ids.form_id(chosen.token)
        self._refusal = None
        self._attempts_under_id = 0
        self._may_be_received = False
        self._address = self._owner = chosen.address
        self._accepted = self._is_reread = False
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
                if not self._try_spend():
                    raise
            await self._wait_backoff(0.0)

    async def _attempt(
        self,
    ) -> collections.abc.AsyncGenerator[str | models.Outcome, None]:
        """Yield new events, then the outcome unless the attempt failed."""
        self._attempts_under_id += 1
        attempt = attempts.Attempt(
            self._session, self._deadline, self.request_id, self._address
        )
        running = attempt.run(self._form_call(), self.transcript)
        async with contextlib.aclosing(running) as parts:
            async for part in parts:
                self._accepted = True
                yield part
        self._accepted = self._accepted or attempt.accepted
        self._may_be_received = self._may_be_received or not attempt.unsent
        if attempt.refusal is not None:
            yield self._classify_refusal(attempt.refusal)

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
                self._call_id,
                self._request.body.get("idempotent", True),
            ),
        )
        if self._accepted:
            return self._session.form_call(method, url)
        body = self._request.body.copy()
        body["deadline_ms"] = max(1, int(self._deadline.left * 1000))
        return self._session.form_call(method, url, msgspec.json.encode(body))

    def _classify_refusal(self, refusal: models.Outcome) -> models.Outcome:
        """Return the outcome in a reply without status 200; raise for most 4xx."""
        if refusal.outcome in _UNKNOWN_OUTCOMES:
            return refusal
        if 400 <= refusal.status < 500 and refusal.status != 429:
            if refusal.code == UNKNOWN_ID and refusal.outcome:
                return refusal
            raise self._form_client_error(refusal)
        return refusal

    def _form_client_error(self, refusal: models.Outcome) -> exceptions.CassiaquayError:
        """Return the error for a 4xx status: BadRequest, or unknown after a retry."""
        kind: type[exceptions.CassiaquayError] = exceptions.BadRequest
        repeated = self._attempts_under_id > 1 and refusal.outcome != models.NOT_RUN
        if self._accepted or repeated:
            # An instance may have accepted an earlier attempt under this id and run it.
            kind = exceptions.OutcomeUnknown
        else:
            self._report_outcome(refusal)
        message = refusal.message or f"status {refusal.status}"
        return kind(message, code=refusal.code, request_id=self.request_id)

    def _is_new(self, data: str) -> bool:
        """Return whether an event was not yet yielded; raise if a repeat differs."""
        if not self._streamed:
            return False
        index = self.transcript.count - 1
        if index >= len(self._yielded):
            self._yielded.append(data)
            return True
        if self._yielded[index] != data:
            raise self._form_not_whole_error(
                "an event read again differs from the one given"
            )
        return False

    def _check_answer(self, result: models.Outcome) -> bool:
        """Return whether the answer is whole; prepare one read from event 0 if not."""
        whole = self.transcript.is_whole(result.event_count, result.digest)
        if whole and len(self._yielded) <= self.transcript.count:
            self._session.acknowledge_later(self.request_id, self._address)
            return True
        if self._is_reread:
            raise self._form_not_whole_error(
                "count or digest differ, also when read again"
            )
        self._is_reread = True
        self.transcript = streams.Transcript()
        return False

    async def _prepare_retry(self, *, progress: bool, hint: str = "") -> None:
        """Prepare the next attempt after one that ended without an outcome.

        It uses the same id, at another address if there is one. If no attempt under
        the id was sent, it uses a new id instead: the id's owner is unreachable, and
        any other instance would return ``outcome_unknown`` for a request that it never
        received.
        """
        if progress:
            # Reading the rest of an existing answer adds hardly any load, so it takes
            # nothing from the budget.
            self._attempts = 0
            self._backoff.reset()
            return
        # The first repeat takes nothing from the budget: it attaches to the same
        # answer. Otherwise the crash of one instance would exhaust the budget, and
        # most of its callers would lose their answers.
        if self._attempts > 1:
            self._spend_retry("the attempts broke off")
        await self._wait_backoff(0.0)
        if not self._may_be_received:
            await self._start_new_id(hint, avoid=self._address)
            return
        self._address = (await self._choose(hint, self._address, fresh=False)).address

    async def _restart_after_refusal(self, result: models.Outcome) -> None:
        self._check_nothing_yielded(result)
        if result.code not in _OVERLOAD_CODES:
            # The token may belong to a process that has stopped or is leaving.
            self._session.addresses.invalidate()
        delay = self._backoff.next_delay(result.retry_after)
        error = exceptions.NotRun(
            result.message or result.code,
            code=result.code,
            request_id=self.request_id,
            retry_after=result.retry_after,
        )
        if delay >= self._deadline.left or not self._may_restart_refused(result):
            raise error
        self._refusal = error
        await self._deadline.bound(asyncio.sleep(delay))
        # Use another address than the one that refused, unless it is the only one.
        await self._start_new_id(result.address, avoid=self._address)

    async def _resolve_unknown(self, result: models.Outcome) -> None:
        """Query the owner for the outcome of the id, then retry, restart or raise."""
        self._session.addresses.invalidate()
        reported = await self._deadline.bound(self._session.outcome(self.request_id))
        if reported.outcome == models.FAILED:
            raise self._form_failed_error(reported)
        if reported.outcome == models.NOT_RUN:
            self._report_outcome(reported)
            await self._restart_after_refusal(reported)
            return
        if reported.outcome == models.COMPLETED or reported.state in models.UNDER_WAY:
            self._accepted = True
            await self._prepare_retry(progress=False, hint=self._owner)
            return
        if not self._request.may_restart:
            raise exceptions.OutcomeUnknown(
                result.message or "the request may have run",
                code=result.code,
                request_id=self.request_id,
            )
        self._check_nothing_yielded(result)
        if result.code not in _OWNER_LOST_CODES or self._has_restarted:
            self._spend_retry(result.message or result.code)
        # The first restart after a crash of the owner takes nothing from the budget:
        # the owner's queue is lost as well, so the new id replaces work and adds none.
        self._has_restarted = True
        self._may_have_run_before = True
        await self._wait_backoff(result.retry_after)
        await self._start_new_id(result.address, avoid=self._owner)

    def _check_nothing_yielded(self, result: models.Outcome) -> None:
        # Two runs of one prompt generate different texts, so the rest of the second
        # can't follow the beginning of the first. The application gets an error.
        if not self._yielded:
            return
        raise exceptions.AnswerNotWhole(
            f"{len(self._yielded)} events were given, then: {result.code}",
            request_id=self.request_id,
        )

    def _try_spend(self) -> bool:
        if self._attempts >= self._session.settings.max_attempts:
            return False
        return self._session.budget.spend()

    def _may_restart_refused(self, result: models.Outcome) -> bool:
        # A leaving instance refuses all its waiting requests at once. Sending them to
        # other instances adds no load, so they don't need the budget, which guards
        # against overload and would fail most of them.
        if result.code in _HANDED_BACK_CODES:
            return self._attempts < self._session.settings.max_attempts
        return self._try_spend()

    def _spend_retry(self, message: str) -> None:
        """Take one retry from the budget; raise OutcomeUnknown when none is left."""
        if self._try_spend():
            return
        code = BUDGET_SPENT
        if self._attempts >= self._session.settings.max_attempts:
            code = ATTEMPTS_SPENT
        # No attempt will read the answer, so the request is cancelled if it waits.
        self._session.cancel_later(self.request_id, self._address)
        raise exceptions.OutcomeUnknown(message, code=code, request_id=self.request_id)

    async def _wait_backoff(self, retry_after: float) -> None:
        delay = self._backoff.next_delay(retry_after)
        await self._deadline.bound(asyncio.sleep(delay))

    def _form_failed_error(self, result: models.Outcome) -> exceptions.Failed:
        message = result.message or result.code
        return exceptions.Failed(message, code=result.code, request_id=self.request_id)

    def _form_not_whole_error(self, message: str) -> exceptions.AnswerNotWhole:
        return exceptions.AnswerNotWhole(message, request_id=self.request_id)

    def _report_outcome(self, result: models.Outcome) -> None:
        self._session.hooks.dispatch(
            hooks.OUTCOME,
            hooks.Outcome(self.request_id, result.outcome, result.code, "instance"),
        )

    async def _cancel_at_deadline(self) -> exceptions.CassiaquayError:
        """Cancel after the deadline; return the error for what is then known."""
        if self._refusal is not None and not self._may_have_run_before:
            return self._refusal
        if not self.request_id:
            return exceptions.NoAddress("no address came before the deadline")
        reported = await self._session.cancel(self.request_id)
        if reported.outcome == models.NOT_RUN and not self._may_have_run_before:
            self._report_outcome(reported)
            return exceptions.NotRun(
                "cancelled at the deadline before it ran",
                code=reported.code,
                request_id=self.request_id,
            )
        return exceptions.Timeout(
            "the deadline passed; the outcome is unknown", request_id=self.request_id
        )


_UNKNOWN_OUTCOMES = frozenset({models.OUTCOME_UNKNOWN})
_OVERLOAD_CODES = frozenset(
    {
        "shed_overload",
        "deadline_infeasible",
        "limit_reached",
        "table_full",
        "dependency_unavailable",
    }
)
_HANDED_BACK_CODES = frozenset({"instance_leaving"})
_OWNER_LOST_CODES = frozenset({"owner_gone"})
