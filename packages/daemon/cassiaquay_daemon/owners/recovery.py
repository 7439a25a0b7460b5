"""Recovery of streams whose owner has failed, from the engine that holds them.

Reading a stream that an engine holds is not a dispatch and costs no prefill. So any
instance may do it, even while the owner is alive on the other side of a partition.
"""

import asyncio

import aiohttp

from cassiaquay_schema import fleet

from .. import clock, exceptions, logs
from ..adapters import answers, backends
from ..configured import snapshots

FIND_TIMEOUT_SECONDS = 2.0
STREAM_LIFETIME_SECONDS = 60.0
# Kept for callers that reconnect; an evicted stream is read again from its engine.
MAX_RECOVERED_STREAMS = 1000
MAX_RECOVERED_BYTES = 64 * 1024 * 1024
READ_ATTEMPTS = 3
READ_RETRY_SECONDS = 0.1


class RecoveredStream:
    """A stream that is read from an engine on behalf of a failed owner.

    Parameters
    ----------
    ledger : Ledger
        Counts the bytes of all recovered streams.
    """

    def __init__(self, ledger: answers.Ledger) -> None:
        self.answer = answers.Answer(ledger)
        self.readers = 0
        self.task: asyncio.Task[None] | None = None
        self.refusal: exceptions.Refusal | None = None
        self.started_at = clock.now()


class Recovery:
    """Finds and reads streams that engines hold.

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
        self._ledger = answers.Ledger(MAX_RECOVERED_BYTES)
        self._streams: dict[str, RecoveredStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def find(
        self, key: str, snapshot: snapshots.Snapshot, service: str
    ) -> RecoveredStream:
        """Return the stream of ``key``; raise OwnerLost if no server holds it."""
        self._drop_expired_streams()
        existing = self._streams.get(key)
        if existing is not None and existing.refusal is None:
            return existing
        probes = []
        for backend, server in self._candidate_servers(snapshot, service):
            recovered = RecoveredStream(self._ledger)
            task = asyncio.create_task(self._read(backend, server, key, recovered))
            recovered.task = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            probes.append((task, recovered))
        stream = await _first_opened([recovered for _, recovered in probes])
        for task, recovered in probes:
            if recovered is not stream:
                task.cancel()
                recovered.answer.forget()
        if stream is None:
            self.not_found += 1
            raise exceptions.OwnerLost()
        self.recovered += 1
        logs.event("recovered", key=key)
        self._streams[key] = stream
        return stream

    async def cancel(
        self, key: str, snapshot: snapshots.Snapshot, service: str
    ) -> None:
        """Stop a cancelled request's stream at every server that may hold it."""
        stops = []
        for backend, server in self._candidate_servers(snapshot, service):
            stops.append(self._stop(backend, server, key))
        await asyncio.gather(*stops)

    def _candidate_servers(
        self, snapshot: snapshots.Snapshot, service: str
    ) -> list[tuple[backends.Backend, fleet.Server]]:
        candidates = []
        for name, pool in snapshot.fleet.pools.items():
            if service and snapshot.fleet.services[service].pool != name:
                continue
            backend = self._backends[pool.adapter]
            candidates += [(backend, server) for server in pool.servers]
        return candidates

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
        recovered: RecoveredStream,
    ) -> None:
        answer = recovered.answer
        for _ in range(READ_ATTEMPTS):
            try:
                await backend.resume(server, key, answer)
                answer.finish("completed", "completed")
                return
            except exceptions.StreamInterrupted as error:
                cause = str(error)
                if not answer.opened:
                    break
                await asyncio.sleep(READ_RETRY_SECONDS)
            except exceptions.BackendError as error:
                cause = str(error)
                break
        recovered.refusal = exceptions.AnswerLost(cause)
        refusal = recovered.refusal
        answer.finish(refusal.outcome, refusal.code, refusal.message)

    def _drop_expired_streams(self) -> None:
        min_started_at = clock.now() - STREAM_LIFETIME_SECONDS
        for key, stream in list(self._streams.items()):
            too_many = len(self._streams) > MAX_RECOVERED_STREAMS
            too_large = self._ledger.used > MAX_RECOVERED_BYTES / 2
            is_old = stream.started_at < min_started_at
            if not (is_old or too_many or too_large):
                continue
            if stream.readers or (stream.answer.final is None and not is_old):
                continue
            if stream.task is not None:
                stream.task.cancel()
            stream.answer.forget()
            del self._streams[key]


async def _first_opened(candidates: list[RecoveredStream]) -> RecoveredStream | None:
    waits: dict[asyncio.Task[None], RecoveredStream] = {}
    for candidate in candidates:
        waits[asyncio.create_task(candidate.answer.wait_open())] = candidate
    timeout_at = clock.now() + FIND_TIMEOUT_SECONDS
    try:
        while waits:
            done, _ = await asyncio.wait(
                waits,
                timeout=max(timeout_at - clock.now(), 0.0),
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
