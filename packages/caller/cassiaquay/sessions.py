"""A session, which shares addresses, connections, retry budget and hooks."""

import asyncio
import collections.abc
import contextlib
import typing

from . import adapters, addresses, exceptions, exchanges, hooks, models, retries


class Session:
    """Sends requests to services through cassiaquay.

    >>> settings = cassiaquay.Settings(seeds=["127.0.0.1:8101"], credential="secret")
    >>> async with cassiaquay.Session(settings) as session:
    ...     answer = await session.ask("tutor-assist", "What is a prime?", deadline=5.0)
    ...     print(answer.text)
    ...     async for text in session.stream("tutor-assist", "And a square?"):
    ...         print(text, end="")

    Parameters
    ----------
    settings : models.Settings
        Settings of all requests of the session.
    """

    def __init__(self, settings: models.Settings) -> None:
        self.settings = settings
        self.hooks = hooks.Hooks()
        self.budget = retries.Budget(settings)
        self.addresses = addresses.AddressBook(settings, self.send)
        self._adapters = adapters.create_defaults(settings)
        self._background: set[asyncio.Task[typing.Any]] = set()

    async def __aenter__(self) -> "Session":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def ask(
        self,
        service: str,
        prompt: str,
        *,
        max_tokens: int | None = None,
        tier: str = "",
        deadline: float | None = None,
        session: str = "",
        parent: str = "",
        idempotent: bool = True,
        restart: bool = True,
    ) -> models.Answer:
        """Return the whole answer of a model engine.

        Parameters
        ----------
        deadline : float, optional
            Seconds within which the answer must be complete; by default
            ``settings.timeout``.
        session : str
            Name of a group of requests that share a prompt prefix.
        restart : bool
            Allow a second run when the outcome of the first is unknown.

        Raises
        ------
        CassiaquayError
            An error of ``exceptions``; its class tells whether the request ran.

        Examples
        --------
        >>> answer = await session.ask("tutor-assist", "Why?", max_tokens=200)
        >>> answer.text, answer.count
        """
        body = _form_prompt(service, prompt, max_tokens, session, idempotent)
        _add_options(body, tier=tier, parent=parent)
        return await self._run_whole(self._form_request(body, deadline, restart))

    async def stream(
        self,
        service: str,
        prompt: str,
        *,
        max_tokens: int | None = None,
        tier: str = "",
        deadline: float | None = None,
        session: str = "",
        parent: str = "",
        idempotent: bool = True,
        restart: bool = True,
    ) -> collections.abc.AsyncGenerator[str, None]:
        """Yield the texts of an answer as they arrive; takes the options of ``ask``.

        The answer is whole only if the iteration ends without an error.

        Examples
        --------
        >>> async for text in session.stream("stylist-llm", "Take in the waist"):
        ...     print(text, end="")
        """
        body = _form_prompt(service, prompt, max_tokens, session, idempotent)
        _add_options(body, tier=tier, parent=parent)
        request = self._form_request(body, deadline, restart)
        exchange = exchanges.Exchange(self, request, streamed=True)
        async with contextlib.aclosing(exchange.run()) as events:
            async for data in events:
                yield models.read_text(data)

    async def call(
        self,
        service: str,
        path: str,
        payload: typing.Any = None,
        *,
        idempotent: bool = True,
        tier: str = "",
        deadline: float | None = None,
        parent: str = "",
        restart: bool = True,
    ) -> models.Answer:
        """Return the whole answer of a plain service.

        With ``idempotent=False`` the request runs at most once, also after failures.

        Examples
        --------
        >>> await session.call("bookings-app", "/book", {"slot": 4}, idempotent=False)
        """
        body = models.RequestBody(
            service=service, path=path, payload=payload, idempotent=idempotent
        )
        _add_options(body, tier=tier, parent=parent)
        return await self._run_whole(self._form_request(body, deadline, restart))

    async def outcome(self, request_id: str) -> models.Outcome:
        """Return the outcome of a request; ``outcome_unknown`` if no instance has it.

        Examples
        --------
        >>> (await session.outcome(error.request_id)).outcome
        'completed'
        """
        return await self._query_request("GET", request_id, "outcome")

    async def cancel(self, request_id: str) -> models.Outcome:
        """Cancel a request and return its outcome; a waiting request never runs."""
        try:
            async with asyncio.timeout(self.settings.cancel_timeout):
                return await self._query_request("POST", request_id, "cancel")
        except TimeoutError:
            return models.Outcome(models.OUTCOME_UNKNOWN, "cancel_timeout")

    async def is_under_way(self, request_id: str, address: str) -> bool:
        """Return whether the instance at ``address`` has a request or its outcome."""
        url = f"http://{address}/v1/requests/{request_id}/outcome"
        found = await self._send_query(self.form_call("GET", url))
        return found is not None and (
            found.state in models.UNDER_WAY or found.is_settled
        )

    def mount(self, prefix: str, adapter: adapters.BaseAdapter) -> None:
        """Use ``adapter`` for URLs with ``prefix``; the longest prefix is used."""
        self._adapters[prefix] = adapter

    async def close(self) -> None:
        """Wait up to ``close_timeout`` for background work, then close connections."""
        if self._background:
            _, unfinished = await asyncio.wait(
                self._background, timeout=self.settings.close_timeout
            )
            for task in unfinished:
                task.cancel()
            await asyncio.gather(*unfinished, return_exceptions=True)
        for adapter in set(self._adapters.values()):
            await adapter.close()

    async def send(self, call: adapters.Call) -> adapters.Reply:
        """Send one call by the adapter mounted for its URL.

        Raises
        ------
        AttemptFailed
            When no status was received or no adapter is mounted for the URL.
        """
        matching = [prefix for prefix in self._adapters if call.url.startswith(prefix)]
        if not matching:
            raise exceptions.AttemptFailed(f"no adapter for {call.url}")
        return await self._adapters[max(matching, key=len)].send(call)

    def form_call(self, method: str, url: str, body: bytes = b"") -> adapters.Call:
        """Return a call that carries the team's credential."""
        headers = {"Authorization": f"Bearer {self.settings.credential}"}
        if body:
            headers["Content-Type"] = "application/json"
        return adapters.Call(method, url, headers, body)

    def acknowledge_later(self, request_id: str, address: str) -> None:
        """Acknowledge an answer in the background, so that the instance drops it."""
        url = f"http://{address}/v1/requests/{request_id}"
        self._start_background(
            self._send_ignoring_errors(self.form_call("DELETE", url))
        )

    def cancel_later(self, request_id: str, address: str) -> None:
        """Cancel a request in the background, without waiting for its outcome."""
        url = f"http://{address}/v1/requests/{request_id}/cancel"
        self._start_background(self._send_ignoring_errors(self.form_call("POST", url)))

    def drain_later(self, reply: adapters.Reply) -> None:
        """Read a reply to its end in the background, to reuse its connection."""
        self._start_background(_drain(reply, self.settings.close_timeout))

    def _start_background(
        self, call: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        # Best effort: instances drop old answers by themselves, so a call that isn't
        # sent does no harm, while an unbounded backlog would.
        if len(self._background) >= self.settings.max_background:
            call.close()
            return
        task = asyncio.get_running_loop().create_task(call)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _send_ignoring_errors(self, call: adapters.Call) -> None:
        try:
            async with asyncio.timeout(self.settings.close_timeout):
                reply = await self.send(call)
                try:
                    await reply.read_all()
                finally:
                    reply.close()
        except (TimeoutError, exceptions.AttemptFailed):
            return

    async def _query_request(
        self, method: str, request_id: str, verb: str
    ) -> models.Outcome:
        """Return the answer of the owner, or of one other address, about a request."""
        try:
            return await self._query_instances(method, request_id, verb)
        except exceptions.NoAddress:
            # Raised here, NoAddress (a ``NotRun``) would say that the request did not
            # run, while only its outcome can't be queried.
            return models.Outcome(models.OUTCOME_UNKNOWN, exceptions.NoAddress.code)

    async def _query_instances(
        self, method: str, request_id: str, verb: str
    ) -> models.Outcome:
        owner = await self.addresses.find_owner(request_id)
        address = owner.address if owner else ""
        for _ in range(2):
            if not address:
                address = (await self.addresses.choose()).address
            url = f"http://{address}/v1/requests/{request_id}/{verb}"
            found = await self._send_query(self.form_call(method, url))
            if found is not None:
                return found
            self.addresses.report_failure(address)
            address = (await self.addresses.choose(avoid=address)).address
        return models.Outcome(models.OUTCOME_UNKNOWN, "unreachable")

    async def _send_query(self, call: adapters.Call) -> models.Outcome | None:
        # Instances answer this query at once, so a timeout is a fault here.
        try:
            async with asyncio.timeout(self.settings.question_timeout):
                reply = await self.send(call)
                try:
                    raw = await reply.read_all()
                finally:
                    reply.close()
        except (TimeoutError, exceptions.AttemptFailed):
            return None
        found = models.parse_outcome(raw, reply.status)
        if found is None or reply.status == 200:
            return found
        # A refusal of this query (credential, overload) has the outcome ``not_run`` of
        # the query itself. Taken for that of the request, it would allow a second run.
        return found._replace(outcome=models.OUTCOME_UNKNOWN)

    def _form_request(
        self, body: models.RequestBody, deadline: float | None, restart: bool
    ) -> models.Request:
        timeout = self.settings.timeout if deadline is None else deadline
        return models.Request(body, timeout, restart)

    async def _run_whole(self, request: models.Request) -> models.Answer:
        exchange = exchanges.Exchange(self, request, streamed=False)
        async with contextlib.aclosing(exchange.run()) as events:
            async for _ in events:
                continue
        transcript = exchange.transcript
        return models.Answer(exchange.request_id, transcript.events, transcript.digest)


def _form_prompt(
    service: str,
    prompt: str,
    max_tokens: int | None,
    session: str,
    idempotent: bool,
) -> models.RequestBody:
    body = models.RequestBody(service=service, prompt=prompt, idempotent=idempotent)
    if max_tokens is not None:
        body["max_tokens"] = max_tokens
    if session:
        body["session"] = session
    return body


def _add_options(body: models.RequestBody, *, tier: str, parent: str) -> None:
    if tier:
        body["tier"] = tier
    if parent:
        body["parent"] = parent


async def _drain(reply: adapters.Reply, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await reply.read_all()
    except (TimeoutError, exceptions.AttemptFailed):
        pass
    finally:
        reply.close()
