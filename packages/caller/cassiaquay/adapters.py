"""Transports, mounted on a session by prefix of the URL.

>>> session.mount("http://", MyAdapter(settings))
"""

import abc
import collections.abc
import typing

import aiohttp

from . import exceptions, models

MAX_BODY_SIZE = 1 << 20

_registry: dict[str, type["BaseAdapter"]] = {}

_T = typing.TypeVar("_T", bound="type[BaseAdapter]")


def register(prefix: str) -> collections.abc.Callable[[_T], _T]:
    """Make the decorated adapter the default for URLs that start so."""

    def keep(adapter: _T) -> _T:
        _registry[prefix] = adapter
        return adapter

    return keep


def create_defaults(settings: models.Settings) -> dict[str, "BaseAdapter"]:
    """Return one adapter of each registered kind by prefix."""
    return {prefix: kind(settings) for prefix, kind in _registry.items()}


class Call(typing.NamedTuple):
    """One HTTP exchange to make."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes = b""


class Reply(abc.ABC):
    """A reply whose body is read in pieces."""

    status: int

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Return the next piece; empty at the end. Raises AttemptFailed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Give the connection up; nothing more is read."""

    async def read_all(self) -> bytes:
        """Return the whole (short) body. Raises AttemptFailed."""
        pieces = b""
        while piece := await self.read():
            pieces += piece
            if len(pieces) > MAX_BODY_SIZE:
                raise exceptions.AttemptFailed("the body is too large")
        return pieces


class BaseAdapter(abc.ABC):
    """A transport."""

    def __init__(self, settings: models.Settings) -> None:
        self.settings = settings

    @abc.abstractmethod
    async def send(self, call: Call) -> Reply:
        """Send ``call`` and return once the status is known.

        Raises
        ------
        NotConnected
            When no byte was written.
        AttemptFailed
            When no status came; the call may have been received all the same.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class _AiohttpReply(Reply):
    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self.status = response.status

    async def read(self) -> bytes:
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise exceptions.AttemptFailed(f"cut while reading: {error!r}") from error

    def close(self) -> None:
        # A body read to its end has given its connection back already.
        self._response.close()


@register("http://")
class AiohttpAdapter(BaseAdapter):
    """HTTP by ``aiohttp``; a URL never leads to another by redirection."""

    def __init__(self, settings: models.Settings) -> None:
        super().__init__(settings)
        self._client: aiohttp.ClientSession | None = None

    async def send(self, call: Call) -> Reply:
        """Send ``call``; see ``BaseAdapter.send``."""
        try:
            response = await self._open_client().request(
                call.method,
                call.url,
                headers=call.headers,
                data=call.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise exceptions.NotConnected(f"no connection: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise exceptions.AttemptFailed(f"no status: {error!r}") from error
        return _AiohttpReply(response)

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.close()

    def _open_client(self) -> aiohttp.ClientSession:
        if self._client is None:
            # Silence is judged by each attempt: a waiting request is silent too.
            timeout = aiohttp.ClientTimeout(
                total=None, sock_connect=self.settings.connect_timeout
            )
            connector = aiohttp.TCPConnector(limit=0)
            self._client = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self._client
