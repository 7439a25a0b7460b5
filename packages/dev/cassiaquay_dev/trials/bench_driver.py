"""Send a workload as streams and record the time of each event."""

import asyncio
import contextvars
import typing

import cassiaquay
from cassiaquay import hooks

from ..standins import texts
from . import driver, workloads

RETRY_DELAY_SECONDS = 0.2


class Record:
    """Result of one arrival; times in seconds from the arrival's planned time.

    Parameters
    ----------
    arrival : Arrival
        The request.
    """

    def __init__(self, arrival: workloads.Arrival):
        self.arrival = arrival
        self.outcome = ""
        self.code = ""
        self.request_id = ""
        self.attempts = 0
        self.seconds = 0.0
        self.first_seconds = 0.0
        self.gaps: list[float] = []
        self.text = ""

    @property
    def key(self) -> str:
        """Id of the request in the engine's log."""
        return f"{self.request_id}~{self.arrival.team.name}"

    @property
    def is_correct(self) -> bool:
        """Whether the answer is the one that the engine generates for this request."""
        if self.outcome != "completed":
            return False
        if self.arrival.path:
            return True
        return self.text == texts.expected_answer(self.key, self.arrival.max_tokens)

    @property
    def in_time(self) -> bool:
        """Whether the complete, correct answer arrived before the deadline."""
        return self.seconds <= self.arrival.deadline and self.is_correct


_current: contextvars.ContextVar[Record] = contextvars.ContextVar("record")


def _record_attempt(attempt: hooks.Attempt) -> None:
    # Hooks run in the task that reads the stream, so the context variable is its own.
    _current.get().request_id = attempt.request_id


class StreamDriver:
    """Sends arrivals at their planned times, with one session per team.

    Parameters
    ----------
    seeds : list of str
        Addresses of the instances that sessions contact first.
    domains : list of str
        Failure domains of the callers, assigned to sessions in rotation.
    repeats : int
        Number of times that an application repeats a call after "not run".
    """

    def __init__(self, seeds: list[str], domains: list[str], repeats: int = 0):
        self.records: list[Record] = []
        self._seeds = seeds
        self._domains = domains
        self._repeats = repeats
        self._sessions: dict[str, cassiaquay.Session] = {}

    async def run(self, arrivals: list[workloads.Arrival]) -> list[Record]:
        """Send all arrivals and return their records when all have ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []
        for arrival in arrivals:
            planned = start + arrival.at
            await asyncio.sleep(max(planned - loop.time(), 0.0))
            record = Record(arrival)
            self.records.append(record)
            tasks.append(asyncio.create_task(self._send(record, planned)))
        await asyncio.gather(*tasks)
        for session in self._sessions.values():
            await session.close()
        return self.records

    def _session(self, arrival: workloads.Arrival) -> cassiaquay.Session:
        team = arrival.team
        if team.name not in self._sessions:
            domain = self._domains[len(self._sessions) % len(self._domains)]
            session = cassiaquay.Session(
                cassiaquay.Settings(
                    seeds=self._seeds, domain=domain, credential=team.credential
                )
            )
            session.hooks.register(hooks.ATTEMPT, _record_attempt)
            self._sessions[team.name] = session
        return self._sessions[team.name]

    async def _send(self, record: Record, planned: float) -> None:
        loop = asyncio.get_running_loop()
        _current.set(record)
        end = planned + record.arrival.deadline
        for _ in range(self._repeats + 1):
            record.attempts += 1
            record.outcome, record.code = await self._send_once(record, planned)
            if record.outcome != "not_run" or loop.time() + RETRY_DELAY_SECONDS > end:
                break
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        record.seconds = loop.time() - planned

    async def _send_once(self, record: Record, planned: float) -> tuple[str, str]:
        try:
            if record.arrival.path:
                await self._call_service(record, planned)
            else:
                await self._read_stream(record, planned)
        except cassiaquay.exceptions.CassiaquayError as error:
            return driver.outcome_of(error), error.code
        return "completed", "completed"

    async def _call_service(self, record: Record, planned: float) -> None:
        arrival = record.arrival
        left = planned + arrival.deadline - asyncio.get_running_loop().time()
        await self._session(arrival).call(
            arrival.service,
            arrival.path,
            {"at": arrival.at},
            tier=arrival.tier,
            deadline=left,
            idempotent=arrival.idempotent,
        )

    async def _read_stream(self, record: Record, planned: float) -> None:
        loop = asyncio.get_running_loop()
        arrival = record.arrival
        parts: list[str] = []
        last_at = planned
        events: typing.AsyncIterator[str] = self._session(arrival).stream(
            arrival.service,
            arrival.prompt,
            max_tokens=arrival.max_tokens,
            tier=arrival.tier,
            deadline=planned + arrival.deadline - loop.time(),
            session=arrival.session,
        )
        async for text in events:
            now = loop.time()
            if not parts:
                record.first_seconds = now - planned
            else:
                record.gaps.append(now - last_at)
            last_at = now
            parts.append(text)
        record.text = "".join(parts)
