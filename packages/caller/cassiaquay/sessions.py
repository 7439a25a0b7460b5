"""A session: addresses, connections, retry budget and hooks kept between requests."""

import asyncio
import collections.abc
import contextlib
import typing

from . import adapters, addresses, exceptions, exchanges, hooks, models, retries


class Session:
    """Asks services through cassiaquay.

    >>> settings = cassiaquay.Settings(seeds=["127.0.0.1:8101"], credential="secret")
    >>> async with cassiaquay.Session(settings) as session:
    ...     answer = await session.ask("tutor-assist", "What is a prime?", deadline=5.0)
    ...     print(answer.text)
    ...     async for text in session.stream("tutor-assist", "And a square?"):
    ...         print(text, end="")

    Parameters
    ----------
    settings : models.Settings
        All settings, passed whole.
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
            Seconds in which the answer is of use; ``settings.timeout`` otherwise.
        session : str
            Requests of one session share a prompt prefix.
        restart : bool
            Allow a second run when the outcome of the first is unknown.

        Raises
        ------
        CassiaquayError
            One of the errors of ``exceptions``; its class says if it ran.

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
        """Yield the texts of an answer as they come; takes what ``ask`` takes.

        The answer is whole only when the loop ends without an error.

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

        With ``idempotent=False`` it runs at most once, whatever fails.

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
        """Return what became of a request; ``outcome_unknown`` if none can say.

        Examples
        --------
        >>> (await session.outcome(error.request_id)).outcome
        'completed'
        """
        return await self._ask_about("GET", request_id, "outcome")

    async def cancel(self, request_id: str) -> models.Outcome:
        """Give a request up and return its outcome; waiting work never runs."""
        try:
            async with asyncio.timeout(self.settings.cancel_timeout):
                return await self._ask_about("POST", request_id, "cancel")
        except TimeoutError:
            return models.Outcome(models.OUTCOME_UNKNOWN, "cancel_timeout")

    async def is_under_way(self, request_id: str, address: str) -> bool:
        """Tell whether the instance at ``address`` says that a request goes on."""
        url = f"http://{address}/v1/requests/{request_id}/outcome"
        told = await self._ask_once(self.form_call("GET", url))
        return told is not None and (told.state in models.UNDER_WAY or told.is_settled)

    def mount(self, prefix: str, adapter: adapters.BaseAdapter) -> None:
        """Use ``adapter`` for URLs that start with ``prefix``; the longest wins."""
        self._adapters[prefix] = adapter

    async def close(self) -> None:
        """Wait a little for acknowledgements, then close all connections."""
        if self._background:
            _, late = await asyncio.wait(
                self._background, timeout=self.settings.close_timeout
            )
            for task in late:
                task.cancel()
            await asyncio.gather(*late, return_exceptions=True)
        for adapter in set(self._adapters.values()):
            await adapter.close()

    async def send(self, call: adapters.Call) -> adapters.Reply:
        """Send one call by the adapter mounted for its URL.

        Raises
        ------
        AttemptFailed
            When no status came or no adapter is mounted.
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
        """Tell the instance in the background that it may forget the answer."""
        url = f"http://{address}/v1/requests/{request_id}"
        self._start(self._exchange_quietly(self.form_call("DELETE", url)))

    def cancel_later(self, request_id: str, address: str) -> None:
        """Cancel in the background, for an application that has gone."""
        url = f"http://{address}/v1/requests/{request_id}/cancel"
        self._start(self._exchange_quietly(self.form_call("POST", url)))

    def drain_later(self, reply: adapters.Reply) -> None:
        """Read a finished reply to its end, so that its connection is kept."""
        self._start(_drain(reply, self.settings.close_timeout))

    def _start(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        # Best effort: instances forget old answers by themselves, so dropping
        # is harmless, while an unbounded backlog would not be.
        if len(self._background) >= self.settings.max_background:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _exchange_quietly(self, call: adapters.Call) -> None:
        try:
            async with asyncio.timeout(self.settings.close_timeout):
                reply = await self.send(call)
                try:
                    await reply.read_all()
                finally:
                    reply.close()
        except (TimeoutError, exceptions.AttemptFailed):
            return

    async def _ask_about(
        self, method: str, request_id: str, verb: str
    ) -> models.Outcome:
        """Ask the owner, then one other address, about a request."""
        try:
            return await self._ask_around(method, request_id, verb)
        except exceptions.NoAddress:
            # As an error it would say of the request that it did not run.
            return models.Outcome(models.OUTCOME_UNKNOWN, exceptions.NoAddress.code)

    async def _ask_around(
        self, method: str, request_id: str, verb: str
    ) -> models.Outcome:
        owner = await self.addresses.find_owner(request_id)
        address = owner.address if owner else ""
        for _ in range(2):
            if not address:
                address = (await self.addresses.choose()).address
            url = f"http://{address}/v1/requests/{request_id}/{verb}"
            told = await self._ask_once(self.form_call(method, url))
            if told is not None:
                return told
            self.addresses.report_failure(address)
            address = (await self.addresses.choose(avoid=address)).address
        return models.Outcome(models.OUTCOME_UNKNOWN, "unreachable")

    async def _ask_once(self, call: adapters.Call) -> models.Outcome | None:
        # Answered without waiting for the request itself, so silence is a fault here.
        try:
            async with asyncio.timeout(self.settings.question_timeout):
                reply = await self.send(call)
                try:
                    raw = await reply.read_all()
                finally:
                    reply.close()
        except (TimeoutError, exceptions.AttemptFailed):
            return None
        told = models.parse_outcome(raw, reply.status)
        if told is None or reply.status == 200:
            return told
        # A refusal of this question (credential, overload) says ``not_run`` of
        # itself; taken for the request's outcome it would allow a second run.
        return told._replace(outcome=models.OUTCOME_UNKNOWN)

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
        kept = exchange.transcript
        return models.Answer(exchange.request_id, kept.events, kept.digest)


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
