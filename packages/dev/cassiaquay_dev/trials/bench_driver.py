"""Sends a workload by streams and notes the time of each event."""

import asyncio
import contextvars
import typing

import cassiaquay
from cassiaquay import hooks

from ..standins import texts
from . import driver, workloads

REPEAT_PAUSE = 0.2


class Record:
    """What became of one arrival; times in seconds from the arrival's planned time.

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
        self.asked = 0
        self.seconds = 0.0
        self.first_seconds = 0.0
        self.gaps: list[float] = []
        self.text = ""

    @property
    def key(self) -> str:
        """Id under which the engine knows it."""
        return f"{self.request_id}~{self.arrival.team.name}"

    @property
    def correct(self) -> bool:
        """Whether the answer is what the engine made for this very request."""
        if self.outcome != "completed":
            return False
        if self.arrival.path:
            return True
        return self.text == texts.expected_answer(self.key, self.arrival.max_tokens)

    @property
    def in_time(self) -> bool:
        """Whether the whole correct answer came before the deadline."""
        return self.seconds <= self.arrival.deadline and self.correct


_current: contextvars.ContextVar[Record] = contextvars.ContextVar("record")


def _note_attempt(attempt: hooks.Attempt) -> None:
    # Hooks run in the task that reads the stream.
    _current.get().request_id = attempt.request_id


class StreamDriver:
    """Sends arrivals at their times, one session for each team.

    Parameters
    ----------
    seeds : list of str
        Addresses of instances to start from.
    domains : list of str
        Failure domains that the callers are in, in turn.
    repeats : int
        How often an application asks again after "not run".
    """

    def __init__(self, seeds: list[str], domains: list[str], repeats: int = 0):
        self.records: list[Record] = []
        self._seeds = seeds
        self._domains = domains
        self._repeats = repeats
        self._sessions: dict[str, cassiaquay.Session] = {}

    async def run(self, arrivals: list[workloads.Arrival]) -> list[Record]:
        """Send all arrivals; return when the last one has ended."""
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
            session.hooks.register(hooks.ATTEMPT, _note_attempt)
            self._sessions[team.name] = session
        return self._sessions[team.name]

    async def _send(self, record: Record, planned: float) -> None:
        loop = asyncio.get_running_loop()
        _current.set(record)
        end = planned + record.arrival.deadline
        for _ in range(self._repeats + 1):
            record.asked += 1
            record.outcome, record.code = await self._ask(record, planned)
            if record.outcome != "not_run" or loop.time() + REPEAT_PAUSE > end:
                break
            await asyncio.sleep(REPEAT_PAUSE)
        record.seconds = loop.time() - planned

    async def _ask(self, record: Record, planned: float) -> tuple[str, str]:
        try:
            if record.arrival.path:
                await self._call(record, planned)
            else:
                await self._stream(record, planned)
        except cassiaquay.exceptions.CassiaquayError as error:
            return driver.outcome_of(error), error.code
        return "completed", "completed"

    async def _call(self, record: Record, planned: float) -> None:
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

    async def _stream(self, record: Record, planned: float) -> None:
        loop = asyncio.get_running_loop()
        arrival = record.arrival
        parts: list[str] = []
        last = planned
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
                record.gaps.append(now - last)
            last = now
            parts.append(text)
        record.text = "".join(parts)
