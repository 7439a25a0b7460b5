"""Streams of owners that are gone: read on from the engine that holds them.

Reading a held stream is no dispatch and costs no prefill, so any instance may do it,
also while the owner is alive behind a partition.
"""

import asyncio

import aiohttp

from cassiaquay_schema import fleet

from .. import clock, exceptions, logs
from ..adapters import answers, backends
from ..configured import snapshots

PROBE_SECONDS = 2.0
KEEP_SECONDS = 60.0
# Streams kept for callers that come again; an older one is read from its engine anew.
MAX_KEPT = 1000
READ_TRIES = 3
READ_PAUSE = 0.1


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
        """Return the stream known as ``key``; raise OwnerLost when nobody holds it."""
        self._forget()
        known = self._found.get(key)
        if known is not None and known.refusal is None:
            return known
        probes = []
        for backend, server in self._places(snapshot, service):
            recovered = Recovered()
            task = asyncio.create_task(self._read(backend, server, key, recovered))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            probes.append((task, recovered))
        found = await _first_found([recovered for _, recovered in probes])
        for task, recovered in probes:
            if recovered is not found:
                task.cancel()
        if found is None:
            self.not_found += 1
            raise exceptions.OwnerLost()
        self.recovered += 1
        logs.event("recovered", key=key)
        self._found[key] = found
        return found

    async def cancel(
        self, key: str, snapshot: snapshots.Snapshot, service: str
    ) -> None:
        """Stop the stream wherever it is held; its caller has given it up."""
        stops = []
        for backend, server in self._places(snapshot, service):
            stops.append(self._stop(backend, server, key))
        await asyncio.gather(*stops)

    def _places(
        self, snapshot: snapshots.Snapshot, service: str
    ) -> list[tuple[backends.Backend, fleet.Server]]:
        found = []
        for name, pool in snapshot.fleet.pools.items():
            if service and snapshot.fleet.services[service].pool != name:
                continue
            backend = self._backends[pool.adapter]
            found += [(backend, server) for server in pool.servers]
        return found

    async def _stop(
        self, backend: backends.Backend, server: fleet.Server, key: str
    ) -> None:
        waste = await backend.cancel(server, key)
        if waste is not None:
            logs.event("wasted", id=key, prefilled_tokens=waste.prefilled_tokens)

    async def _read(
        self,
        backend: backends.Backend,
        server: fleet.Server,
        key: str,
        recovered: Recovered,
    ) -> None:
        answer = recovered.answer
        for _ in range(READ_TRIES):
            try:
                await backend.resume(server, key, answer)
                answer.finish("completed", "completed")
                return
            except exceptions.StreamInterrupted as error:
                cause = str(error)
                if not answer.opened:
                    break
                await asyncio.sleep(READ_PAUSE)
            except exceptions.BackendError as error:
                cause = str(error)
                break
        recovered.refusal = exceptions.AnswerLost(cause)
        refusal = recovered.refusal
        answer.finish(refusal.outcome, refusal.code, refusal.message)

    def _forget(self) -> None:
        horizon = clock.now() - KEEP_SECONDS
        for key in list(self._found):
            too_many = len(self._found) > MAX_KEPT
            if self._found[key].since < horizon or too_many:
                del self._found[key]


async def _first_found(candidates: list[Recovered]) -> Recovered | None:
    waits: dict[asyncio.Task[None], Recovered] = {}
    for candidate in candidates:
        waits[asyncio.create_task(candidate.answer.wait_open())] = candidate
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
                if candidate.answer.opened:
                    return candidate
        return None
    finally:
        for task in waits:
            task.cancel()
