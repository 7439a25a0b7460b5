"""Streams of owners that are gone: read on from the engine that holds them.

Reading a held stream is no dispatch and costs no prefill, so any instance may do it,
also while the owner is alive behind a partition.
"""

import asyncio

import aiohttp

from cassiaquay_schema import fleet

from . import answers, backends, clock, exceptions, logs, snapshots

PROBE_SECONDS = 2.0
KEEP_SECONDS = 60.0


class Recovered:
    """A stream that is being read for a dead owner."""

    def __init__(self) -> None:
        self.answer = answers.Answer()
        self.refusal: exceptions.Refusal | None = None
        self.since = clock.now()


class Recovery:
    """Finds streams at engines.

    Parameters
    ----------
    http : ClientSession
        Connections to backend servers.
    """

    def __init__(self, http: aiohttp.ClientSession):
        self.recovered = 0
        self.not_found = 0
        self._backends: dict[str, backends.Backend] = {}
        for name in backends.backends.names():
            self._backends[name] = backends.backends.get(name)(http)
        self._found: dict[str, Recovered] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def find(
        self, key: str, snapshot: snapshots.Snapshot, service: str
    ) -> Recovered:
        """Return the stream known as ``key``; raise OwnerGone when nobody holds it."""
        self._forget()
        known = self._found.get(key)
        if known is not None and known.refusal is None:
            return known
        probes = []
        for name, pool in snapshot.fleet.pools.items():
            if service and snapshot.fleet.services[service].pool != name:
                continue
            backend = self._backends[pool.adapter]
            for server in pool.servers:
                recovered = Recovered()
                reading = self._read(backend, server, key, recovered)
                task = asyncio.create_task(reading)
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                probes.append((task, recovered))
        found = await _first_found([recovered for _, recovered in probes])
        for task, recovered in probes:
            if recovered is not found:
                task.cancel()
        if found is None:
            self.not_found += 1
            raise exceptions.OwnerGone()
        self.recovered += 1
        logs.event("recovered", key=key)
        self._found[key] = found
        return found

    async def _read(
        self,
        backend: backends.Backend,
        server: fleet.Server,
        key: str,
        recovered: Recovered,
    ) -> None:
        try:
            await backend.resume(server, key, recovered.answer)
            recovered.answer.finish("completed", "completed")
        except (exceptions.StreamCut, exceptions.StreamMissing) as error:
            recovered.refusal = exceptions.AnswerLost(str(error))
            refusal = recovered.refusal
            recovered.answer.finish(refusal.outcome, refusal.code, refusal.message)
        except exceptions.BackendError as error:
            recovered.refusal = exceptions.AnswerLost(str(error))
            refusal = recovered.refusal
            recovered.answer.finish(refusal.outcome, refusal.code, refusal.message)

    def _forget(self) -> None:
        horizon = clock.now() - KEEP_SECONDS
        for key in list(self._found):
            if self._found[key].since < horizon:
                del self._found[key]


async def _first_found(candidates: list[Recovered]) -> Recovered | None:
    waits: dict[asyncio.Task[None], Recovered] = {}
    for candidate in candidates:
        waits[asyncio.create_task(candidate.answer.wait(0))] = candidate
    end = clock.now() + PROBE_SECONDS
    try:
        while waits:
            done, _ = await asyncio.wait(
                waits,
                timeout=max(end - clock.now(), 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                return None
            for task in done:
                candidate = waits.pop(task)
                if candidate.answer.count or candidate.refusal is None:
                    return candidate
        return None
    finally:
        for task in waits:
            task.cancel()
