"""Engines with slots, a queue and faults, which record every arriving request."""

import asyncio
import collections
import collections.abc
import json
import random
import re
import time
import typing
import weakref

from ..standins import endless, raw_servers
from . import records, unframed

SLOTS = 4
QUEUE_LENGTH = 4
# Short against the time bounds of a request, so that only an engine that a fault slows
# down exceeds them.
WORK_SECONDS = 0.03
EVENT_GAP_SECONDS = 0.02
EVENT_COUNT = 8
SLOW = 8.0
# Comment of the endless answer that consists of complete comments.
COMMENT = re.compile(rb"^: wait\n\n", re.MULTILINE)
VERSION_LINE = re.compile(rb"^version: (\S+)\n", re.MULTILINE)
# Faults that an engine may inject into one request.
FAULTS = ("reset", "truncate", "extra", "silent", "error", "mid_event", "anew")
# An answer that belongs to an earlier request, or to none, comes first.
STALE = "stale"
# The engine stops within the head of its answer, whatever that says.
MID_HEAD = "mid_head"
REPORT_TARGET = "/cassiaquay/report"
EXTRA_ANSWER = b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nextra"


# Endless answers that begin with the whole answer, or with a failure.
SURPLUS = ("surplus", "surplus_answers")
FAILURES = ("failure", "failure_unframed")
# Endless answers that are no valid ones, or announce more than any bound, from their
# first bytes on.
INVALID = ("garbage", "blank_lines", "length")


class Endlessness(typing.NamedTuple):
    """How the answers of an engine in trouble do not end.

    Attributes
    ----------
    kind : str
        One of the endless answers.
    drips : bool
        Whether they come slowly.
    allowance : Allowance
        Bounds what the engines of one fault send.
    """

    kind: str
    drips: bool
    allowance: endless.Allowance

    @property
    def is_slow(self) -> bool:
        """Whether an answer looks like a sound one that takes long.

        Nothing may then end it but its time or another engine's answer.
        """
        return self.drips and self.kind not in FAILURES + INVALID + SURPLUS


class Engine(raw_servers.RawServer):
    """One engine process; a restarted engine is another object with another name.

    Parameters
    ----------
    name, service : str
        Instance id of the engine, and the service that it belongs to.
    recorded : Records
        Receives the runs.
    rng : Random
        Source of the random choice of faults and durations.
    on_crash : callable, optional
        Called with the engine's name when a request crashes it.
    software : str, optional
        Version of its software, which its events name.
    """

    def __init__(
        self,
        name: str,
        service: str,
        recorded: records.Records,
        rng: random.Random,
        on_crash: collections.abc.Callable[[str], None] | None = None,
        software: str = "",
    ):
        super().__init__()
        self.name = name
        self.software = software
        # Start time of its process, Unix milliseconds.
        self.born = int(time.time() * 1000)
        self.service = service
        self.faulty_share = 0.0
        self.slowdown = 1.0
        # How its answers do not end; None while they do.
        self.endlessness: Endlessness | None = None
        # Share of its answers that end early, all of them without a length or chunks;
        # None while they have one.
        self.unframed_cut_share: float | None = None
        # Requests a second that its answers name, 0 for no limit, and when it was named
        # first.
        self.limit = 0.0
        self.limited_at = 0.0
        # Whether its answers say that it leaves.
        self.is_leaving = False
        # Seconds that it asks for with each 503; while not 0, it takes no request.
        self.retry_after = 0.0
        # Rejections in a second that it bears, as its answers say; None for any number.
        self.bears: int | None = None
        # Whether it lets requests wait for a slot.
        self.has_queue = True
        # Share of the requests that it declines, with an answer that it sends once more
        # where that to the next request on the connection is due.
        self.copying_share = 0.0
        # Share of the requests that it runs and answers with a part of a head.
        self.head_cut_share = 0.0
        self._copies: weakref.WeakKeyDictionary[raw_servers.Writer, dict[str, str]]
        self._copies = weakref.WeakKeyDictionary()
        self._rejected_at: collections.deque[float] = collections.deque()
        self._recorded = recorded
        self._rng = rng
        self._on_crash = on_crash
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)

    async def respond(
        self, request: raw_servers.Request, writer: raw_servers.Writer
    ) -> None:
        """Answer one request; refuse it if it is misdirected or the queue is full."""
        if request.target == REPORT_TARGET:
            report = json.dumps({"stage": "mixed", "born": self.born}).encode()
            await raw_servers.send(writer, 200, report, {})
            return
        run = records.Run(self.name, self.service, request)
        expected_instance = request.headers.get("cassiaquay-expect-instance", self.name)
        if not request.attempt or expected_instance != self.name:
            headers = _not_executed(request)
            headers["Cassiaquay-Instance-Id"] = self.name
            await raw_servers.send(writer, 421, b"", headers)
            return
        self._recorded.runs.append(run)
        copied = self._copies.pop(writer, None)
        if copied is not None:
            run.has_engine_fault = True
            await raw_servers.send(writer, 503, b"", copied)
        if self.copying_share and self._rng.random() < self.copying_share:
            run.rejected = True
            await self._decline_twice(run, writer)
            return
        if self.retry_after:
            run.rejected = True
            await self._turn_away(run, writer)
            return
        queue_length = QUEUE_LENGTH if self.has_queue else 0
        if self._slots.locked() and self._waiting >= queue_length:
            run.rejected = True
            await self._reject(run, writer)
            return
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            run.executed = True
            await self._execute(run, writer)
            if run.broke_off_at == records.FOREVER and not run.is_endless:
                run.answered_at = records.now()
        finally:
            self._slots.release()

    async def _decline_twice(
        self, run: records.Run, writer: raw_servers.Writer
    ) -> None:
        headers = _not_executed(run.request)
        await raw_servers.send(writer, 503, b"", headers)
        self._copies[writer] = headers

    async def _reject(self, run: records.Run, writer: raw_servers.Writer) -> None:
        headers = _not_executed(run.request) | self._state_headers()
        await raw_servers.send(writer, 503, b"", headers)
        now = records.now()
        self._rejected_at.append(now)
        while self._rejected_at[0] < now - 1.0:
            self._rejected_at.popleft()
        if self.bears is None or self.has_queue:
            return
        if len(self._rejected_at) > self.bears and self._on_crash is not None:
            self._recorded.falls.append(records.Fall(self.name, self.service, now))
            self._on_crash(self.name)

    def _state_headers(self) -> dict[str, str]:
        return {} if self.bears is None else {"Server-Brittle": str(self.bears)}

    async def _turn_away(self, run: records.Run, writer: raw_servers.Writer) -> None:
        headers = _not_executed(run.request)
        headers["Retry-After"] = f"{self.retry_after:.1f}"
        await raw_servers.send(writer, 503, b"", headers)
        report = self._recorded.report(run, round(self.retry_after, 1))
        if report is not None:
            self._recorded.backoffs.append(report)

    async def _execute(self, run: records.Run, writer: raw_servers.Writer) -> None:
        number = len(self._recorded.runs)
        run.seal = f"{run.request.attempt}.{number}"
        run.status = 200
        fault = ""
        if self._rng.random() < self.faulty_share:
            fault = self._rng.choice(FAULTS)
            run.has_engine_fault = True
        if self.head_cut_share and self._rng.random() < self.head_cut_share:
            fault = MID_HEAD
            run.has_engine_fault = True
        await asyncio.sleep(WORK_SECONDS * self.slowdown * self._rng.uniform(0.5, 2.0))
        if self._crashing_part(run):
            # The process ends while it writes the first event, without a length.
            raw_servers.write_head(writer, self._answer_headers(run))
            writer.write(event_of(run.request.attempt, 0)[:7])
            await writer.drain()
        if self._crashing_part(run) or (
            run.request.target in self._recorded.crashing_targets
        ):
            run.has_engine_fault = True
            run.broke_off_at = records.now()
            if self._on_crash is not None:
                self._on_crash(self.name)
            return
        if self.endlessness is not None:
            await self._answer_endlessly(run, writer, self.endlessness)
            return
        if fault == "error":
            run.status = 500
            await raw_servers.send(writer, 500, b"failed", self._answer_headers(run))
            return
        if fault == "silent":
            await asyncio.sleep(60.0)
        elif fault:
            # All others break the answer off or break the protocol in it.
            run.broke_off_at = records.now()
        if fault == "reset":
            raw_servers.reset(writer)
            return
        await self._answer(run, writer, fault)

    async def _answer(
        self, run: records.Run, writer: raw_servers.Writer, fault: str
    ) -> None:
        if fault == MID_HEAD:
            await self._stop_within_head(run, writer)
            return
        if self.unframed_cut_share is not None and not fault:
            await self._answer_unframed(run, writer, self.unframed_cut_share)
            return
        if fault == STALE:
            writer.write(EXTRA_ANSWER)
        if self.service == "chat":
            await self._stream(run, writer, fault)
            return
        body = body_of(run.seal)
        if fault == "truncate":
            head = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n"
            head += "".join(
                f"{name}: {value}\r\n"
                for name, value in self._answer_headers(run).items()
            )
            writer.write(f"{head}\r\n".encode() + body[:-3])
            await writer.drain()
            writer.close()
            return
        await raw_servers.send(writer, 200, body, self._answer_headers(run))
        if fault == "extra":
            writer.write(EXTRA_ANSWER)

    async def _answer_unframed(
        self, run: records.Run, writer: raw_servers.Writer, cut_share: float
    ) -> None:
        """Send an answer with neither a length nor chunks, or a part of it."""
        parts = unframed.split(body_of(run.seal))
        first = 0
        if self.service == "chat":
            first = int(run.request.headers.get("last-event-id", "-1")) + 1
            parts = [
                event_of(run.request.attempt, number, self.software)
                for number in range(first, EVENT_COUNT)
            ]
        run.unframed = unframed.WHOLE
        if self._rng.random() < cut_share:
            run.unframed = self._rng.choice(unframed.CUTS)
            run.has_engine_fault = True
        sent = len(parts)
        if run.unframed != unframed.WHOLE:
            sent = self._rng.randrange(len(parts)) if parts else 0
        if run.unframed == unframed.HEAD:
            sent = 0
        raw_servers.write_head(writer, self._answer_headers(run))
        for number, part in enumerate(parts[:sent], first + 1):
            writer.write(part)
            await writer.drain()
            run.sent_until = number
            await asyncio.sleep(EVENT_GAP_SECONDS * self.slowdown)
        if run.unframed == unframed.WITHIN and parts:
            writer.write(parts[sent][:7])
            await writer.drain()
        run.sent_until = first + sent
        if run.unframed != unframed.WHOLE:
            run.broke_off_at = records.now()
        if run.unframed == unframed.RESET:
            raw_servers.reset(writer)
        else:
            writer.close()

    async def _stop_within_head(
        self, run: records.Run, writer: raw_servers.Writer
    ) -> None:
        """Send a part of the head of an answer or of a refusal, and end."""
        lines = [
            f"{name}: {value}" for name, value in self._answer_headers(run).items()
        ]
        status = self._rng.choice([200, 503])
        if status == 503:
            lines.append("Cassiaquay-Not-Executed: 1")
        lines.append(
            self._rng.choice(["Transfer-Encoding: chunked", "Content-Length: 9"])
        )
        self._rng.shuffle(lines)
        head = "\r\n".join([f"HTTP/1.1 {status} X", *lines]) + "\r\n\r\n"
        writer.write(head[: self._rng.randrange(len(head))].encode())
        await writer.drain()
        if self._rng.random() < 0.5:
            raw_servers.reset(writer)
        else:
            writer.close()

    async def _answer_endlessly(
        self, run: records.Run, writer: raw_servers.Writer, how: Endlessness
    ) -> None:
        run.has_engine_fault = True
        run.endless_kind = f"{how.kind}, {'slow' if how.drips else 'fast'}"
        if how.kind in SURPLUS:
            await self._answer(run, writer, "")
            # Bytes after a whole answer break the protocol, as those of `extra` do.
            run.answered_at = run.broke_off_at = records.now()
            surplus = endless.endless.get(how.kind)(b"").repeated
            await endless.repeat(writer, surplus, how.drips, how.allowance)
            return
        if how.kind in FAILURES:
            run.status = 500
        if not how.is_slow:
            run.broke_off_at = records.now()
        headers = self._answer_headers(run)
        await endless.send(writer, how.kind, headers, how.drips, how.allowance)

    def _crashing_part(self, run: records.Run) -> str:
        prompt = run.request.headers.get("cassiaquay-prompt-prefix", "")
        for part in self._recorded.crashing_parts:
            if part in prompt:
                return part
        return ""

    def _answer_headers(self, run: records.Run) -> dict[str, str]:
        headers = {
            "Cassiaquay-Attempt-Id": run.request.attempt,
            "Cassiaquay-Response-Seal": run.seal,
        } | self._state_headers()
        if self.limit:
            headers["Server-Limit"] = f"{self.limit:.1f}"
            self.limited_at = self.limited_at or records.now()
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
            report = self._recorded.report(run, records.FOREVER)
            if report is not None and not run.has_engine_fault:
                self._recorded.departures.append(report)
        return headers

    async def _stream(
        self, run: records.Run, writer: raw_servers.Writer, fault: str
    ) -> None:
        head = "".join(
            f"{name}: {value}\r\n" for name, value in self._answer_headers(run).items()
        )
        head = f"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n{head}\r\n"
        writer.write(head.encode())
        first = int(run.request.headers.get("last-event-id", "-1")) + 1
        if fault == "anew":
            first = 0
        for number in range(first, EVENT_COUNT):
            event = event_of(run.request.attempt, number, self.software)
            if fault in ("truncate", "mid_event") and number >= EVENT_COUNT // 2:
                part = event[:7] if fault == "mid_event" else b""
                if part:
                    writer.write(b"%x\r\n%b" % (len(event), part))
                await writer.drain()
                writer.close()
                return
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_SECONDS * self.slowdown)
        writer.write(b"0\r\n\r\n")
        if fault == "extra":
            writer.write(EXTRA_ANSWER)
        await writer.drain()


def body_of(seal: str) -> bytes:
    """Return the body of the answer with a given seal."""
    return f"body under {seal}".encode() * 20


def event_of(attempt: str, number: int, software: str = "") -> bytes:
    """Return event ``number`` of the streamed answer to an attempt."""
    version = f"version: {software}\n" if software else ""
    return f"id: {number}\ndata: piece {number} of {attempt}\n{version}\n".encode()


def versions_of(answer: bytes) -> set[str]:
    """Return the software versions that the events of an answer name."""
    return {text.decode() for text in VERSION_LINE.findall(answer)}


def without_comments(answer: bytes) -> bytes:
    """Return an answer without the comments of an endless one."""
    return COMMENT.sub(b"", answer)


def without_versions(answer: bytes) -> bytes:
    """Return an answer as an engine without a software version would write it."""
    return VERSION_LINE.sub(b"", answer)


def _not_executed(request: raw_servers.Request) -> dict[str, str]:
    """Return the headers of an answer to a request that was not run."""
    headers = {"Cassiaquay-Not-Executed": "1"}
    if request.attempt:
        headers["Cassiaquay-Attempt-Id"] = request.attempt
    return headers
