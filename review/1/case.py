"""A late extra answer to a declined request, read as the answer to the next request."""

import asyncio
import random
import time

from standins import callers, cases, http, record, servers

SEED = 71
CALLERS = 72
# Nearly full servers: an instance avoids one that turns requests away while others have
# room.
SERVERS = 8
SLOTS = 3
WORK_SECONDS = 0.09
# The disruptions come again and again, for five seconds each time.
EPISODES = 14
EPISODE_SECONDS = 5.0
PAUSE_SECONDS = 1.0
# garble, "extra late": 4 of 8 servers (at most 0.6) send 0.03 of their answers a second
# time.
REPEATING_SERVERS = 4
EXTRA_SHARE = 0.03
# srv_grey, "shed": 1 of 8 servers (at most 0.14) turns 0.45 of its requests away.
SHEDDING_SERVERS = 1
SHED_SHARE = 0.45
KEY = "key-of-blue"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "booking",
            "host": "caller.example",
            "path-prefix": "/book/",
            "kind": "non_idempotent",
            "service": "bookings",
            "timeout-ms": 800,
            "slo-ms": 300,
            "priority": 2,
            "attempts": 1,
        }
    ],
    "services": [{"name": "bookings", "health-path": "/health", "max-conns": 110}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [
        {
            "name": "blue",
            "api-keys": [KEY],
            "unit": "tokens",
            "plain-tokens": 200,
            "rate-per-s": 200000,
            "burst": 200000,
        }
    ],
}


class TroubledServer(servers.Server):
    """A server that repeats some answers late, and may turn requests away.

    Parameters
    ----------
    recorded : Record
        Receives what it does.
    chance : Random
        Chooses the answers.
    sheds : bool
        Whether it also turns requests away.

    Attributes
    ----------
    is_troubled : bool
        Whether the disruption is under way.
    """

    def __init__(self, recorded: record.Record, chance: random.Random, sheds: bool):
        super().__init__("bookings", SLOTS, recorded, WORK_SECONDS)
        self.is_troubled = False
        self._chance = chance
        self._sheds = sheds
        self._extras: dict[servers.Connection, bytes] = {}

    async def respond(
        self, asked: http.Message, connection: servers.Connection
    ) -> None:
        """Answer one request; before it, send a late extra answer if one is due."""
        if not asked.attempt:
            await super().respond(asked, connection)
            return
        extra = self._extras.pop(connection, b"")
        if extra:
            first = extra.split(b"\r\n", 1)[0].decode()
            self._recorded.note(
                "extra", before=asked.attempt, server=self.name, answer=first
            )
            connection.writer.write(extra)
        data = await self.answer(asked, connection)
        connection.writer.write(data)
        if self.is_troubled and self._chance.random() < EXTRA_SHARE:
            self._extras[connection] = data

    async def answer(
        self, asked: http.Message, connection: servers.Connection
    ) -> bytes:
        """Answer one request, or turn it away."""
        is_shedding = self.is_troubled and self._sheds
        if is_shedding and self._chance.random() < SHED_SHARE:
            return self.decline(asked)
        return await super().answer(asked, connection)

    def closed(self, connection: servers.Connection) -> None:
        """Forget a connection that has ended."""
        self._extras.pop(connection, None)


async def run_case(deployment: cases.Deployment, is_disrupted: bool) -> list[str]:
    """Let callers book while some servers are in trouble; check each booking."""
    chance = random.Random(SEED)
    recorded = deployment.recorded
    started = []
    for number in range(SERVERS):
        started.append(TroubledServer(recorded, chance, number < SHEDDING_SERVERS))
    await deployment.start(CONFIGURATION, started)
    seconds = EPISODES * (EPISODE_SECONDS + PAUSE_SECONDS)
    ends_at = time.monotonic() + seconds
    booking = []
    for number in range(CALLERS):
        instance = deployment.instances[number % len(deployment.instances)]
        caller = callers.Caller(instance.host, instance.ports["front"], KEY, recorded)
        booking.append(_book(caller, ends_at, random.Random(SEED + number)))
    for _ in range(EPISODES if is_disrupted else 0):
        booking.append(_disrupt(started[:REPEATING_SERVERS], len(booking) - CALLERS))
    await asyncio.gather(*booking)
    # A request that was answered may still be run later.
    await asyncio.sleep(1.0)
    return _check(recorded)


async def _disrupt(troubled: list[TroubledServer], episode: int) -> None:
    await asyncio.sleep(episode * (EPISODE_SECONDS + PAUSE_SECONDS))
    for server in troubled:
        server.is_troubled = True
    await asyncio.sleep(EPISODE_SECONDS)
    for server in troubled:
        server.is_troubled = False


async def _book(caller: callers.Caller, ends_at: float, chance: random.Random) -> None:
    while time.monotonic() < ends_at:
        await caller.ask("POST", "/book/1", b"x" * 600)
        await asyncio.sleep(chance.uniform(0.05, 0.25))
    caller.close()


def _check(recorded: record.Record) -> list[str]:
    found = []
    for attempt, status in recorded.answers.items():
        ran = recorded.runs.get(attempt, [])
        if status in record.PROMISES and ran:
            found.append(f"REFUSED {attempt} answered {status}, run by {ran}")
        if len(ran) > 1:
            found.append(f"TWICE {attempt} run by {ran}")
    return found


if __name__ == "__main__":
    cases.run(__file__, run_case)
