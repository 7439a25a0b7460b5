"""Send a workload through the caller package and record the result of each request."""

import asyncio
import collections.abc
import typing

import cassiaquay

from . import workloads


class Result(typing.NamedTuple):
    """Result of one arrival.

    Attributes
    ----------
    arrival : Arrival
        The request.
    outcome : str
        ``completed``, ``not_run``, ``outcome_unknown`` or ``failed``.
    code : str
        Code of the error, or ``completed``.
    request_id : str
        Id of the last attempt.
    seconds : float
        Time from the first attempt to the end.
    text : str
        Text of the answer.
    """

    arrival: workloads.Arrival
    outcome: str
    code: str
    request_id: str
    seconds: float
    text: str

    @property
    def in_time(self) -> bool:
        """Whether the complete answer arrived before the deadline."""
        return self.outcome == "completed" and self.seconds <= self.arrival.deadline


class Driver:
    """Sends arrivals at their planned times, with one session per team.

    Parameters
    ----------
    seeds : list of str
        Addresses of the instances that sessions contact first.
    domains : list of str
        Failure domains of the callers, assigned to sessions in rotation.
    watch : callable, optional
        Called with each new session and the name of its team.
    """

    def __init__(
        self,
        seeds: list[str],
        domains: list[str],
        watch: collections.abc.Callable[[cassiaquay.Session, str], None] | None = None,
    ):
        self.results: list[Result] = []
        self._seeds = seeds
        self._domains = domains
        self._watch = watch
        self._sessions: dict[str, cassiaquay.Session] = {}

    async def run(self, arrivals: list[workloads.Arrival]) -> list[Result]:
        """Send all arrivals and return their results when all have ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks: list[asyncio.Task[None]] = []
        try:
            for arrival in arrivals:
                await asyncio.sleep(max(start + arrival.at - loop.time(), 0.0))
                tasks.append(asyncio.create_task(self._send(arrival)))
            await asyncio.gather(*tasks)
        finally:
            # When the run is cancelled, requests must end before their sessions close.
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for session in self._sessions.values():
                await session.close()
        return self.results

    def _session(self, arrival: workloads.Arrival) -> cassiaquay.Session:
        team = arrival.team
        if team.name not in self._sessions:
            domain = self._domains[len(self._sessions) % len(self._domains)]
            self._sessions[team.name] = cassiaquay.Session(
                cassiaquay.Settings(
                    seeds=self._seeds, domain=domain, credential=team.credential
                )
            )
            if self._watch is not None:
                self._watch(self._sessions[team.name], team.name)
        return self._sessions[team.name]

    async def _send(self, arrival: workloads.Arrival) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        outcome, code, request_id, text = "completed", "completed", "", ""
        try:
            answer = await self._send_request(arrival)
            request_id = answer.request_id
            text = answer.text
        except cassiaquay.exceptions.CassiaquayError as error:
            code = error.code
            request_id = error.request_id
            outcome = outcome_of(error)
        elapsed = loop.time() - start
        self.results.append(Result(arrival, outcome, code, request_id, elapsed, text))

    async def _send_request(self, arrival: workloads.Arrival) -> cassiaquay.Answer:
        session = self._session(arrival)
        if arrival.path:
            return await session.call(
                arrival.service,
                arrival.path,
                {"at": arrival.at},
                tier=arrival.tier,
                deadline=arrival.deadline,
                idempotent=arrival.idempotent,
            )
        return await session.ask(
            arrival.service,
            arrival.prompt,
            max_tokens=arrival.max_tokens,
            tier=arrival.tier,
            deadline=arrival.deadline,
            session=arrival.session,
        )


def outcome_of(error: cassiaquay.exceptions.CassiaquayError) -> str:
    """Return the outcome that an error represents."""
    if isinstance(error, cassiaquay.exceptions.NotRun):
        return "not_run"
    if isinstance(error, cassiaquay.exceptions.Failed):
        return "failed"
    return "outcome_unknown"
