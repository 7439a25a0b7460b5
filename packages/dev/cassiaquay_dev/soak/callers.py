"""Callers that ask where to connect, keep connections, retry and sometimes give up."""

import asyncio
import json
import random
import typing

from ..standins import platform_standins
from . import exchange, records

CONNECT_SECONDS = 1.0
RESOLVE_SECONDS = 1.0
# Callers of this many groups know different addresses and keep their own connections.
GROUPS = 6
TRIES = 3
DEADLINE_SECONDS = 4.0
# Share of the requests whose caller leaves in the middle.
LEAVING_SHARE = 0.04
LEAVES_AFTER = 0.06
# Share of the requests that are the one that crashes engines, while it comes.
SAME_SHARE = 0.08
# Statuses that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)
PATHS = {
    "safe": "/safe/",
    "book": "/book/",
    "stream": "/stream/",
    "string": "/string/",
}
WEIGHTS = {"safe": 3, "book": 3, "stream": 3, "string": 1}
BODY = b"x" * 300


class Front(typing.NamedTuple):
    """A daemon as callers know it."""

    name: str
    # Where it listens, and the proxy before that which callers use.
    address: str
    proxy: str
    directory: str


class _Group:
    """Callers that share addresses and connections."""

    def __init__(self) -> None:
        self.resolved = exchange.Resolved([], 0.0)
        self.kept: list[exchange.Connection] = []


class Callers:
    """All callers of a soak.

    Parameters
    ----------
    fronts : list of Front
        The daemons.
    lives : callable
        Returns how often a daemon has been started.
    seen : Records
        Gets the attempts.
    chance : Random
        Decides what they do.
    """

    def __init__(
        self,
        fronts: list[Front],
        lives: typing.Callable[[str], int],
        seen: records.Records,
        chance: random.Random,
    ):
        self.keys = ["key-a"]
        self.extra_paths: list[str] = []
        self._fronts = fronts
        self._lives = lives
        self._seen = seen
        self._chance = chance
        self._groups = [_Group() for _ in range(GROUPS)]
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, rate: float, ended: asyncio.Event) -> None:
        """Send requests at a rate, at random moments, until told; wait for all."""
        while not ended.is_set():
            await asyncio.sleep(self._chance.expovariate(rate))
            task = asyncio.create_task(self._request())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _request(self) -> None:
        kind = self._chance.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        path = PATHS[kind]
        if self.extra_paths and self._chance.random() < 0.2:
            kind, path = "safe", self._chance.choice(self.extra_paths)
        key = self._chance.choice(self.keys)
        group = self._chance.choice(self._groups)
        deadline = records.now() + DEADLINE_SECONDS
        same = ""
        if self._seen.coming and self._chance.random() < SAME_SHARE:
            kind, key = "stream", "key-a"
            same = self._chance.choice(sorted(self._seen.coming))
        for _ in range(TRIES):
            self._count += 1
            name = f"c{self._count}"
            target = same or f"{path}{name}?a=%2F"
            attempt = records.Attempt(name, kind, target, key, BODY)
            attempt.deadline = deadline
            self._seen.attempts[name] = attempt
            await self._try(group, attempt)
            if attempt.is_served or attempt.gave_up or attempt.status in FINAL:
                return
            if not attempt.may_repeat and attempt.status not in NOT_RUN:
                return
            await asyncio.sleep(self._pause(attempt))

    def _pause(self, attempt: records.Attempt) -> float:
        left = max(attempt.deadline - records.now(), 0.0)
        asked = float(attempt.headers.get("retry-after", "0.05"))
        return min(asked, left / 3.0)

    async def _try(self, group: _Group, attempt: records.Attempt) -> None:
        left = attempt.deadline - records.now()
        leaving = self._chance.random() < LEAVING_SHARE
        connection: exchange.Connection | None = None
        kept = False
        try:
            async with asyncio.timeout(LEAVES_AFTER if leaving else left):
                connection = await self._connection(group)
                if connection is None:
                    await asyncio.sleep(0.1)
                    return
                front = self._front_of(connection.address)
                attempt.daemon = front.name
                attempt.life = self._lives(front.name)
                attempt.sent_at = records.now()
                # To find an address and connect may have taken a while.
                left = attempt.deadline - attempt.sent_at
                await connection.send(_head(attempt, left), attempt.body)
                kept = await connection.read(attempt)
        except TimeoutError:
            attempt.gave_up = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (ValueError, KeyError, IndexError):
            self._seen.unasked_bytes.append(f"{attempt.name}: no answer of HTTP")
        finally:
            attempt.ended_at = records.now()
            if connection is not None:
                if kept and connection.is_usable:
                    group.kept.append(connection)
                else:
                    connection.close()

    async def _connection(self, group: _Group) -> exchange.Connection | None:
        await self._resolve(group)
        while group.kept and self._chance.random() < 0.8:
            found = group.kept.pop(self._chance.randrange(len(group.kept)))
            if not found.is_usable:
                found.close()
                continue
            if data := await found.unasked():
                self._seen.unasked_bytes.append(f"{found.address}: {data[:40]!r}")
                found.close()
                continue
            if found.is_usable:
                return found
        if not group.resolved.addresses:
            return None
        address = self._chance.choice(group.resolved.addresses)
        for front in self._fronts:
            if front.address == address:
                return await exchange.Connection.open(front.proxy, CONNECT_SECONDS)
        self._seen.unasked_bytes.append(f"unknown address {address}")
        return None

    def _front_of(self, proxy: str) -> Front:
        return next(front for front in self._fronts if front.proxy == proxy)

    async def _resolve(self, group: _Group) -> None:
        if group.resolved.until > records.now():
            return
        target = f"/cassiaquay/resolve?name={platform_standins.HOST}&region=r&zone=a"
        for front in self._chance.sample(self._fronts, min(3, len(self._fronts))):
            found = await exchange.get(front.directory, target, RESOLVE_SECONDS)
            if found is None or found.status != 200:
                continue
            body = json.loads(found.answer)
            if not body.get("addrs"):
                continue
            until = records.now() + body["ttl-s"]
            group.resolved = exchange.Resolved(body["addrs"], until)
            return


def _head(attempt: records.Attempt, left: float) -> str:
    lines = [
        f"POST {attempt.path} HTTP/1.1",
        f"Host: {platform_standins.HOST}",
        f"Content-Length: {len(attempt.body)}",
        f"Cassiaquay-Attempt-Id: {attempt.name}",
        f"Cassiaquay-Deadline-Ms: {int(left * 1000)}",
        f"Api-Key: {attempt.key}",
        "Cassiaquay-Tenant: forged",
    ]
    if attempt.kind in ("stream", "string"):
        lines += [
            "Cassiaquay-Model: m",
            "Cassiaquay-Token-Counts: 100,8",
            "Cassiaquay-Prompt-Prefix: aa:60,bb:40",
        ]
    return "\r\n".join(lines) + "\r\n\r\n"
