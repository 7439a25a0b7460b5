"""Callers that resolve addresses, reuse connections, retry and sometimes give up."""

import asyncio
import json
import random
import typing

from ..standins import platform_standins
from . import exchange, records

CONNECT_SECONDS = 1.0
RESOLVE_SECONDS = 1.0
# Each group of callers has its own resolved addresses and connections.
GROUPS = 6
MAX_TRIES = 3
DEADLINE_SECONDS = 4.0
# Share of the requests whose caller disconnects before the answer is complete.
EARLY_DISCONNECT_SHARE = 0.04
LEAVE_AFTER_SECONDS = 0.06
# The same while callers break streams off, and the latest time at which they leave.
BROKEN_STREAM_SHARE = 0.3
MAX_LEAVE_AFTER_SECONDS = 0.2
# Share of the requests that crash engines, while the fault `crashing_request` lasts.
CRASHING_REQUEST_SHARE = 0.08
# The same for requests with a part that crashes engines, while `crashing_part` lasts.
CRASHING_PART_SHARE = 0.15
# Statuses that guarantee that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
FINAL_STATUSES = (400, 401, 404, 413, 431)
PATHS = {
    "safe": "/safe/",
    "book": "/book/",
    "stream": "/stream/",
    "string": "/string/",
}
KIND_WEIGHTS = {"safe": 3, "book": 3, "stream": 3, "string": 1}
BODY = b"x" * 300


class Front(typing.NamedTuple):
    """Addresses of a daemon that callers use.

    `address` is the listening address of its front, `proxy` that of the proxy before
    it, to which callers connect.
    """

    name: str
    address: str
    proxy: str
    directory: str


class _Group:
    """Resolved addresses and idle connections that a group of callers shares."""

    def __init__(self) -> None:
        self.resolved = exchange.Resolved([], 0.0)
        self.idle_connections: list[exchange.Connection] = []


class Callers:
    """All callers of a soak.

    Parameters
    ----------
    fronts : list of Front
        The daemons.
    start_count_of : callable
        Returns how often a daemon, given by name, has been started.
    recorded : Records
        Receives the attempts.
    rng : Random
        Source of all random choices.
    """

    def __init__(
        self,
        fronts: list[Front],
        start_count_of: typing.Callable[[str], int],
        recorded: records.Records,
        rng: random.Random,
    ):
        self.keys = ["key-a"]
        self.extra_paths: list[str] = []
        # Whether callers leave many streams midway and take them up elsewhere.
        self.breaks_streams = False
        self._fronts = fronts
        self._start_count_of = start_count_of
        self._recorded = recorded
        self._rng = rng
        self._groups = [_Group() for _ in range(GROUPS)]
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, rate: float, ended: asyncio.Event) -> None:
        """Send requests with exponential gaps until ``ended``; wait for all answers."""
        while not ended.is_set():
            await asyncio.sleep(self._rng.expovariate(rate))
            task = asyncio.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _request(self) -> None:
        kind = self._rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        path = PATHS[kind]
        if self.extra_paths and self._rng.random() < 0.2:
            kind, path = "safe", self._rng.choice(self.extra_paths)
        key = self._rng.choice(self.keys)
        group = self._rng.choice(self._groups)
        deadline = records.now() + DEADLINE_SECONDS
        crashing_target = ""
        if (
            self._recorded.active_crashing_targets
            and self._rng.random() < CRASHING_REQUEST_SHARE
        ):
            kind, key = "stream", "key-a"
            crashing_target = self._rng.choice(
                sorted(self._recorded.active_crashing_targets)
            )
        part = "" if crashing_target else self._choose_crashing_part()
        if part:
            kind, path, key = "stream", PATHS["stream"], "key-a"
        begun: records.Attempt | None = None
        for _ in range(MAX_TRIES):
            self._count += 1
            name = f"c{self._count}"
            target = crashing_target or f"{path}{name}?a=%2F"
            attempt = records.Attempt(name, kind, target, key, BODY)
            attempt.deadline = deadline
            attempt.crashing_part = part
            if begun is not None:
                attempt.stream = begun.stream
                attempt.first_event = begun.event_count
            self._recorded.attempts[name] = attempt
            await self._send_attempt(group, attempt)
            if attempt.is_served or attempt.status in FINAL_STATUSES:
                return
            if attempt.gave_up and not self._returns(attempt):
                return
            if kind == "stream" and attempt.event_count > attempt.first_event:
                begun = attempt
            if not attempt.may_repeat and attempt.status not in NOT_RUN:
                return
            await asyncio.sleep(self._retry_delay(attempt))

    def _choose_crashing_part(self) -> str:
        now = records.now()
        for part, span in self._recorded.crashing_parts.items():
            if span.end > now and self._rng.random() < CRASHING_PART_SHARE:
                return part
        return ""

    def _returns(self, attempt: records.Attempt) -> bool:
        """Return whether the caller takes a stream up that it has left midway."""
        if not self.breaks_streams or attempt.kind != "stream":
            return False
        return records.now() < attempt.deadline and attempt.event_count > 0

    def _retry_delay(self, attempt: records.Attempt) -> float:
        remaining_s = max(attempt.deadline - records.now(), 0.0)
        retry_after_s = float(attempt.headers.get("retry-after", "0.05"))
        return min(retry_after_s, remaining_s / 3.0)

    async def _send_attempt(self, group: _Group, attempt: records.Attempt) -> None:
        remaining_s = attempt.deadline - records.now()
        share = BROKEN_STREAM_SHARE if self.breaks_streams else EARLY_DISCONNECT_SHARE
        leaves_early = self._rng.random() < share
        connection: exchange.Connection | None = None
        is_reusable = False
        try:
            async with asyncio.timeout(
                self._leave_after() if leaves_early else remaining_s
            ):
                connection = await self._open_or_reuse(group)
                if connection is None:
                    await asyncio.sleep(0.1)
                    return
                front = self._front_at(connection.address)
                attempt.daemon = front.name
                attempt.daemon_start = self._start_count_of(front.name)
                attempt.sent_at = records.now()
                # Resolving and connecting took a part of the remaining time.
                remaining_s = attempt.deadline - attempt.sent_at
                await connection.send(request_head(attempt, remaining_s), attempt.body)
                is_reusable = await connection.read(attempt)
        except TimeoutError:
            attempt.gave_up = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (ValueError, KeyError, IndexError):
            self._recorded.protocol_errors.append(f"{attempt.name}: no answer of HTTP")
        finally:
            attempt.ended_at = records.now()
            if connection is not None:
                if is_reusable and connection.is_usable:
                    group.idle_connections.append(connection)
                else:
                    connection.close()

    def _leave_after(self) -> float:
        if not self.breaks_streams:
            return LEAVE_AFTER_SECONDS
        return self._rng.uniform(LEAVE_AFTER_SECONDS, MAX_LEAVE_AFTER_SECONDS)

    async def _open_or_reuse(self, group: _Group) -> exchange.Connection | None:
        await self._resolve(group)
        while group.idle_connections and self._rng.random() < 0.8:
            found = group.idle_connections.pop(
                self._rng.randrange(len(group.idle_connections))
            )
            if not found.is_usable:
                found.close()
                continue
            if data := await found.read_unrequested():
                self._recorded.protocol_errors.append(f"{found.address}: {data[:40]!r}")
                found.close()
                continue
            if found.is_usable:
                return found
        if not group.resolved.addresses:
            return None
        address = self._rng.choice(group.resolved.addresses)
        for front in self._fronts:
            if front.address == address:
                return await exchange.Connection.open(front.proxy, CONNECT_SECONDS)
        self._recorded.protocol_errors.append(f"unknown address {address}")
        return None

    def _front_at(self, proxy: str) -> Front:
        return next(front for front in self._fronts if front.proxy == proxy)

    async def _resolve(self, group: _Group) -> None:
        if group.resolved.until > records.now():
            return
        target = f"/cassiaquay/resolve?name={platform_standins.HOST}&region=r&zone=a"
        for front in self._rng.sample(self._fronts, min(3, len(self._fronts))):
            found = await exchange.get(front.directory, target, RESOLVE_SECONDS)
            if found is None or found.status != 200:
                continue
            body = json.loads(found.answer)
            if not body.get("addrs"):
                continue
            until = records.now() + body["ttl-s"]
            group.resolved = exchange.Resolved(body["addrs"], until)
            return


def request_head(attempt: records.Attempt, remaining_s: float) -> str:
    """Return the head of the request of an attempt."""
    lines = [
        f"POST {attempt.path} HTTP/1.1",
        f"Host: {platform_standins.HOST}",
        f"Content-Length: {len(attempt.body)}",
        f"Cassiaquay-Attempt-Id: {attempt.name}",
        f"Cassiaquay-Deadline-Ms: {int(remaining_s * 1000)}",
        f"Api-Key: {attempt.key}",
        "Cassiaquay-Tenant: forged",
    ]
    if attempt.kind in ("stream", "string"):
        lines += [
            "Cassiaquay-Model: m",
            "Cassiaquay-Token-Counts: 100,8",
            f"Cassiaquay-Prompt-Prefix: aa:60,{_own_parts(attempt)}",
        ]
    if attempt.is_resumed:
        lines.append(f"Resumes: {attempt.stream}")
        lines.append(f"Last-Event-Id: {attempt.first_event - 1}")
    return "\r\n".join(lines) + "\r\n\r\n"


def _own_parts(attempt: records.Attempt) -> str:
    if not attempt.crashing_part:
        return "bb:40"
    return f"{attempt.crashing_part}:30,{attempt.name}:10"
