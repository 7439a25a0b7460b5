"""A foreign entry in the store with a number of more than 64 bits.

Every instance stops reading the store for good: the configuration and the servers stay
as they are at that moment.
"""

import asyncio
import random
import time

from standins import callers, cases, daemons, record, servers

SEED = 72
INSTANCES = 3
CALLERS = 24
SERVERS = 3
HOST = "127.0.0.1"
KEY = "key-of-blue"
DROPPED_KEY = "dropped-key-of-blue"
# Seconds from the start of the traffic.
FOREIGN_AT = 4.0
CHANGE_AT = 10.0
RELEASE_AT = 18.0
# The foreign entry is taken away again.
REMOVED_AT = 24.0
END_AT = 34.0
# Bounds of the sheet.
APPLY_SECONDS = 2.0
DRAIN_SECONDS = 2.0
# Long after the release, and after the foreign entry has been taken away.
SERVED_FROM_SECONDS = 28.0
# As another program may write it: a service that is in no configuration, and a random
# id of 128 bits as its sequence number.
FOREIGN = {
    "service": "inventory",
    "addr": "127.0.0.1:9",
    "zone": "midlands-a",
    "version": "2.4",
    "slots": 1,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 0xC2A9_4F0E_7D13_4B6A_9E55_0B7C_21D8_F364,
}


def configuration(version: int, keys: list[str]) -> dict[str, object]:
    """Return a configuration in which a tenant has some keys."""
    return {
        "version": version,
        "routes": [
            {
                "name": "timetable",
                "host": "caller.example",
                "path-prefix": "/look/",
                "kind": "idempotent",
                "service": "bookings",
                "timeout-ms": 800,
                "slo-ms": 300,
                "priority": 2,
                "attempts": 2,
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
                "api-keys": keys,
                "unit": "tokens",
                "plain-tokens": 200,
                "rate-per-s": 200000,
                "burst": 200000,
            }
        ],
    }


class Clock:
    """Seconds since the start of the traffic."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began_at

    async def wait_until(self, seconds: float) -> None:
        """Wait for a time after the start."""
        await asyncio.sleep(max(seconds - self.now, 0.0))


class Use:
    """What callers got, by the time at which they sent."""

    def __init__(self) -> None:
        self.broken: list[str] = []
        # When the store acknowledged the change, in seconds from the start.
        self.acknowledged_at = float("inf")
        self.served = 0
        self.unserved = 0

    def note(self, sent_at: float, key: str, status: int, has_run: bool) -> None:
        """Note one answer, and whether a server ran the request."""
        if key == DROPPED_KEY:
            after = sent_at - self.acknowledged_at
            if after > APPLY_SECONDS and has_run:
                self.broken.append(
                    f"CONFIG a request sent {after:.1f} s after the "
                    "acknowledgement ran with a dropped key"
                )
        elif sent_at > SERVED_FROM_SECONDS:
            self.served += status == 200
            self.unserved += status != 200


async def run_case(deployment: cases.Deployment, is_disrupted: bool) -> list[str]:
    """Drop a key and replace all servers, some time after the foreign entry."""
    recorded = deployment.recorded
    started = [servers.Server("bookings", 6, recorded) for _ in range(SERVERS)]
    keys = [KEY, DROPPED_KEY]
    await deployment.start(configuration(7, keys), started, INSTANCES)
    clock = Clock()
    use = Use()
    asking = []
    for number in range(CALLERS):
        instance = deployment.instances[number % INSTANCES]
        key = keys[number // INSTANCES % 2]
        chance = random.Random(SEED + number)
        asking.append(
            asyncio.create_task(_ask(instance, key, recorded, use, clock, chance))
        )
    await clock.wait_until(FOREIGN_AT)
    if is_disrupted:
        await deployment.platform.put("servers/inventory-7", FOREIGN)
        recorded.note("foreign_entry", value=FOREIGN)
    await clock.wait_until(CHANGE_AT)
    await deployment.platform.put("op/config", configuration(9, [KEY]))
    use.acknowledged_at = clock.now
    recorded.note("acknowledged", version=9, dropped=DROPPED_KEY)
    await clock.wait_until(RELEASE_AT)
    for old in started:
        new = servers.Server("bookings", 6, recorded)
        await new.start(HOST, deployment.platform)
        await asyncio.sleep(1.0)
        await old.leave(deployment.platform, DRAIN_SECONDS + 1.0)
        recorded.note("replaced", old=old.name, new=new.name)
    await clock.wait_until(REMOVED_AT)
    if is_disrupted:
        await deployment.platform.remove("servers/inventory-7")
        recorded.note("foreign_entry_removed")
    await asyncio.gather(*asking)
    ready = [await instance.is_ready() for instance in deployment.instances]
    recorded.note("ready", instances=ready)
    recorded.note("after_release", served=use.served, unserved=use.unserved)
    print(f"after the release: {use.served} served, {use.unserved} not; ready: {ready}")
    return use.broken


async def _ask(
    instance: daemons.Instance,
    key: str,
    recorded: record.Record,
    use: Use,
    clock: Clock,
    chance: random.Random,
) -> None:
    caller = callers.Caller(instance.host, instance.ports["front"], key, recorded)
    while clock.now < END_AT:
        sent_at = clock.now
        answer = await caller.ask("GET", "/look/1")
        has_run = bool(recorded.runs.get(caller.attempt))
        use.note(sent_at, key, answer.status if answer else 0, has_run)
        await asyncio.sleep(chance.uniform(0.1, 0.3))
    caller.close()


if __name__ == "__main__":
    cases.run(__file__, run_case)
