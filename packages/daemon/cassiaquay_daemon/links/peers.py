"""Connections between instances: dialled when needed, authenticated, one task each.

A connection carries frames both ways, starting with a handshake. No other message of a
peer is processed before it has proved that it has a shared key.
"""

import asyncio
import collections.abc
import contextlib
import hashlib
import hmac
import secrets
import typing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, early_bind, exceptions, logs, sockets, supervision
from . import frames

PROTOCOL_VERSION = 1
NONCE_BYTES = 16
DIALLED = b"dialled"
ACCEPTED = b"accepted"
HANDSHAKE_SECONDS = 3.0
DIAL_SECONDS = 2.0
REDIAL_SECONDS = 0.2
# Neighbours and keepers change; a link not requested for this long is closed.
IDLE_SECONDS = 30.0
# Prefix of the name under which a seed address is dialled.
SEED = "seed "
READ_BYTES = 65536
# Until a peer has proved that it has a key; a frame may decode to fifty times its size.
MAX_HANDSHAKE_BYTES = 4096
HANDSHAKE_READ_BYTES = 1024
# Accepted connections without a proof. One more closes the oldest of them: a proof of a
# peer takes a few round trips.
MAX_UNPROVEN = 128
LOG_SECONDS = 1.0
# A peer that does not read (paused, cut off) must not exhaust this process's memory:
# beyond this many unsent bytes its connection is aborted. State is resent on the next.
MAX_UNSENT_BYTES = 8 * 1024 * 1024

Handler = collections.abc.Callable[["Link", typing.Any], None]


class Link:
    """One authenticated connection to another instance.

    Parameters
    ----------
    reader, writer
        The streams of the connection.
    dialled : bool
        Whether this instance opened it.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dialled: bool = False,
    ):
        self.dialled = dialled
        self.instance = ""
        self.incarnation = ""
        self._reader = reader
        self._writer = writer
        self.sent_bytes = 0
        self.received_bytes = 0
        # Until the proof.
        self._decoder = frames.Decoder(MAX_HANDSHAKE_BYTES)
        self._unsendable: set[type] = set()
        self._ready: list[messages.Message] = []

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._writer.is_closing()

    def send(self, message: messages.Message) -> bool:
        """Queue a message; return False if it is not sent.

        That is when the link is closed or not being read, or if no frame can carry the
        message. The sender goes on: one wrong value must not end what it does for
        others.
        """
        if self._writer.is_closing():
            return False
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            logs.trouble("peer_not_reading", peer=self.instance)
            transport.abort()
            return False
        try:
            frame = frames.encode(message)
        except exceptions.UnencodableMessage as error:
            self._report_unsendable(message, error)
            return False
        self.sent_bytes += len(frame)
        self._writer.write(frame)
        return True

    async def receive(self) -> list[messages.Message]:
        """Return the next messages; an empty list means that the link is closed."""
        while not self._ready:
            data = await self._reader.read(READ_BYTES)
            if not data:
                return []
            self.received_bytes += len(data)
            self._ready = self._decoder.feed(data)
        received, self._ready = self._ready, []
        return received

    async def receive_one(self) -> messages.Message:
        """Return the next message of the handshake.

        Raises
        ------
        PeerError
            When the link closes, or the peer sends too much.
        """
        message = self._decoder.feed_one(b"")
        while message is None:
            data = await self._reader.read(HANDSHAKE_READ_BYTES)
            if not data:
                raise exceptions.PeerError("closed")
            self.received_bytes += len(data)
            if self.received_bytes > MAX_HANDSHAKE_BYTES:
                raise exceptions.PeerAuthenticationFailed(
                    f"{self.received_bytes} bytes and no proof"
                )
            message = self._decoder.feed_one(data)
        return message

    def trust(self, instance: str, incarnation: str) -> None:
        """Accept messages of any size from a peer that has proved who it is."""
        self.instance = instance
        self.incarnation = incarnation
        rest = self._decoder.take_rest()
        self._decoder = frames.Decoder()
        self._ready = self._decoder.feed(rest)

    def _report_unsendable(
        self, message: messages.Message, error: exceptions.UnencodableMessage
    ) -> None:
        """Log the first message of each kind that cannot be sent on this link."""
        kind = type(message)
        if kind in self._unsendable:
            return
        self._unsendable.add(kind)
        logs.trouble("message_unsendable", peer=self.instance, cause=str(error))

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(RuntimeError):
            self._writer.close()


class Peers:
    """All connections of this instance to other instances.

    Parameters
    ----------
    settings : Settings
        Names, keys and addresses of this process.
    incarnation : str
        Identifies this run of the process.
    """

    def __init__(self, settings: settings_schema.Settings, incarnation: str):
        self.address = ""
        self.closed_sent_bytes = 0
        self.closed_received_bytes = 0
        self._settings = settings
        self._incarnation = incarnation
        self._handlers: dict[type, Handler] = {}
        self._on_up: list[collections.abc.Callable[[Link], None]] = []
        self._on_down: list[collections.abc.Callable[[Link], None]] = []
        self._dialled: dict[str, Link] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._addresses: dict[str, str] = {}
        self._requested_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}
        self._accepted: set[Link] = set()
        # Connections that were refused since the last log line about them.
        self._refused_count = 0
        self._next_log_at = 0.0
        # In the order of their arrival.
        self._unproven: dict[Link, None] = {}
        self._server: asyncio.Server | None = None

    def open_links(self) -> list[Link]:
        """Return the open links, dialled and accepted."""
        return [*self._dialled.values(), *self._accepted]

    def on(self, kind: type, handler: Handler) -> None:
        """Register the handler of one message type."""
        self._handlers[kind] = handler

    def on_up(self, call: collections.abc.Callable[[Link], None]) -> None:
        """Call ``call`` when a dialled link is ready."""
        self._on_up.append(call)

    def on_down(self, call: collections.abc.Callable[[Link], None]) -> None:
        """Call ``call`` when any link has closed."""
        self._on_down.append(call)

    async def start(self) -> None:
        """Listen for peers."""
        settings = self._settings
        address = settings.peer_listen or f"{settings.host}:{settings.peer_port}"
        self._server = await asyncio.start_server(
            self._accept, sock=early_bind.take(address)
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close every connection and stop listening."""
        for task in self._tasks.values():
            task.cancel()
        for link in [*self._accepted, *self._dialled.values()]:
            link.close()
        if self._server is not None:
            self._server.close()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def link(self, instance: str, address: str) -> Link | None:
        """Return the link dialled to an instance; start dialling when there is none."""
        self._addresses[instance] = address
        self._requested_at[instance] = clock.now()
        link = self._dialled.get(instance)
        if link is not None and not link.is_closing:
            return link
        task = self._tasks.get(instance)
        if task is None or task.done():
            self._tasks[instance] = asyncio.create_task(self._dial(instance))
        return None

    def failed_since(self, instance: str, at: float) -> bool:
        """Return whether dialling failed since ``at``, a time on the local clock."""
        return self._failed_at.get(instance, at - 1.0) >= at

    def close_idle(self) -> None:
        """Close the dialled links that were not requested recently."""
        horizon = clock.now() - IDLE_SECONDS
        for instance, requested_at in list(self._requested_at.items()):
            if requested_at >= horizon:
                continue
            del self._requested_at[instance]
            self._addresses.pop(instance, None)
            self._failed_at.pop(instance, None)
            task = self._tasks.pop(instance, None)
            if task is not None:
                task.cancel()

    async def _dial(self, instance: str) -> None:
        try:
            host, port = sockets.split_address(self._addresses[instance])
            # Not `wait_for`: in Python 3.11 it loses a cancellation that arrives
            # together with its result, and the shutdown would hang on this task.
            async with asyncio.timeout(DIAL_SECONDS):
                reader, writer = await asyncio.open_connection(host, port)
        except (TimeoutError, OSError, ValueError):
            self._failed_at[instance] = clock.now()
            await asyncio.sleep(REDIAL_SECONDS)
            return
        sockets.set_timeouts(writer.get_extra_info("socket"))
        link = Link(reader, writer, dialled=True)
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await self._authenticate(link, True)
            if link.instance != instance and not instance.startswith(SEED):
                # Another instance now has this address.
                raise exceptions.PeerAuthenticationFailed(
                    f"{link.instance} answers for {instance}"
                )
            self._dialled[link.instance] = link
            # A seed is requested by its address until its name is known.
            self._dialled[instance] = link
            for call in self._on_up:
                call(link)
            await self._read(link)
        except (TimeoutError, exceptions.PeerError, OSError) as error:
            logs.detail("peer_lost", peer=instance, cause=repr(error))
            self._failed_at[instance] = clock.now()
            await asyncio.sleep(REDIAL_SECONDS)
        finally:
            self._close(link)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sockets.set_timeouts(writer.get_extra_info("socket"))
        link = Link(reader, writer)
        self._accepted.add(link)
        try:
            await self._check_proof(link)
            await self._read(link)
        except exceptions.PeerError as error:
            # Close only this connection: a faulty peer must not affect other links.
            self._log_refused(error)
        except (TimeoutError, OSError) as error:
            logs.detail("peer_lost", peer=link.instance, cause=repr(error))
        finally:
            self._accepted.discard(link)
            self._close(link)

    def _log_refused(self, error: exceptions.PeerError) -> None:
        """Log a refused connection, once a second at the most."""
        self._refused_count += 1
        now = clock.now()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_SECONDS
        count, self._refused_count = self._refused_count, 0
        logs.trouble("peer_refused", code=error.code, cause=str(error), count=count)

    async def _check_proof(self, link: Link) -> None:
        """Authenticate an accepted connection, one of a bounded number."""
        self._unproven[link] = None
        if len(self._unproven) > MAX_UNPROVEN:
            oldest = next(iter(self._unproven))
            del self._unproven[oldest]
            oldest.close()
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await self._authenticate(link, False)
        finally:
            self._unproven.pop(link, None)

    async def _authenticate(self, link: Link, dialled: bool) -> None:
        # The MAC covers the role of its sender: otherwise an attacker could reflect
        # this instance's own proof, obtained over a second connection, back to it.
        ours, theirs = (DIALLED, ACCEPTED) if dialled else (ACCEPTED, DIALLED)
        nonce = secrets.token_bytes(NONCE_BYTES)
        settings = self._settings
        link.send(
            messages.Hello(
                PROTOCOL_VERSION, settings.instance, self._incarnation, nonce
            )
        )
        hello = await link.receive_one()
        if not isinstance(hello, messages.Hello):
            raise exceptions.PeerAuthenticationFailed("no hello")
        if hello.version != PROTOCOL_VERSION:
            raise exceptions.PeerAuthenticationFailed(
                f"protocol version {hello.version}"
            )
        mac = _mac(settings.keys[0], ours, hello.nonce, nonce, settings.instance)
        link.send(messages.Proof(mac))
        proof = await link.receive_one()
        if not isinstance(proof, messages.Proof):
            raise exceptions.PeerAuthenticationFailed("no proof")
        if hello.instance == settings.instance:
            # This process reached itself through a seed, or another process has the
            # same name; either would count as a peer that confirms every message.
            raise exceptions.PeerAuthenticationFailed(
                "a peer has the name of this instance"
            )
        for key in settings.keys:
            expected = _mac(key, theirs, nonce, hello.nonce, hello.instance)
            if hmac.compare_digest(expected, proof.mac):
                link.trust(hello.instance, hello.incarnation)
                return
        raise exceptions.PeerAuthenticationFailed(
            f"{hello.instance} does not know the key"
        )

    async def _read(self, link: Link) -> None:
        while True:
            received = await link.receive()
            if not received:
                return
            for message in received:
                handler = self._handlers.get(type(message))
                if handler is None:
                    raise exceptions.InvalidFrame(
                        f"unexpected {type(message).__name__}"
                    )
                try:
                    handler(link, message)
                except Exception as error:
                    # One message must not cost the link, and with it the heartbeats.
                    supervision.log_failure(f"message {type(message).__name__}", error)

    def _close(self, link: Link) -> None:
        link.close()
        for instance in [
            n for n, dialled_link in self._dialled.items() if dialled_link is link
        ]:
            del self._dialled[instance]
        self.closed_sent_bytes += link.sent_bytes
        self.closed_received_bytes += link.received_bytes
        for call in self._on_down:
            call(link)


def _mac(key: str, side: bytes, theirs: bytes, ours: bytes, instance: str) -> bytes:
    body = side + theirs + ours + instance.encode()
    return hmac.new(key.encode(), body, hashlib.sha256).digest()
