"""HTTP transports, mounted on a session by URL prefix.

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
    """Return a decorator that makes a class the default for URLs with ``prefix``."""

    def add(adapter: _T) -> _T:
        _registry[prefix] = adapter
        return adapter

    return add


def create_defaults(settings: models.Settings) -> dict[str, "BaseAdapter"]:
    """Return an instance of each registered adapter class, by URL prefix."""
    return {prefix: kind(settings) for prefix, kind in _registry.items()}


class Call(typing.NamedTuple):
    """One HTTP request to send."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes = b""


class Reply(abc.ABC):
    """An HTTP response with a known status, whose body is read in chunks."""

    status: int

    @abc.abstractmethod
    async def read(self) -> bytes:
        """Return the next chunk; empty at the end. Raises AttemptFailed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Release the connection without reading the rest of the body."""

    async def read_all(self) -> bytes:
        """Return the whole body. Raises AttemptFailed above ``MAX_BODY_SIZE``."""
        body = b""
        while chunk := await self.read():
            body += chunk
            if len(body) > MAX_BODY_SIZE:
                raise exceptions.AttemptFailed("the response body is too large")
        return body


class BaseAdapter(abc.ABC):
    """A transport, which sends calls and returns their replies."""

    def __init__(self, settings: models.Settings) -> None:
        self.settings = settings

    @abc.abstractmethod
    async def send(self, call: Call) -> Reply:
        """Send ``call`` and return once the response status is known.

        Raises
        ------
        NotConnected
            When no connection was established, so no byte was written.
        AttemptFailed
            When no status was received; the instance may have received the call.
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
            raise exceptions.AttemptFailed(
                f"the connection failed while reading the body: {error!r}"
            ) from error

    def close(self) -> None:
        # No effect after the whole body is read: aiohttp has then already returned the
        # connection to its pool.
        self._response.close()


@register("http://")
class AiohttpAdapter(BaseAdapter):
    """HTTP by ``aiohttp``; does not follow redirects."""

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
            raise exceptions.AttemptFailed(
                f"no response status was received: {error!r}"
            ) from error
        return _AiohttpReply(response)

    async def close(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.close()

    def _open_client(self) -> aiohttp.ClientSession:
        if self._client is None:
            # No read timeout: an instance sends nothing while a request waits in a
            # queue. ``Attempt`` detects instances that no longer respond.
            timeout = aiohttp.ClientTimeout(
                total=None, sock_connect=self.settings.connect_timeout
            )
            connector = aiohttp.TCPConnector(limit=0)
            self._client = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self._client
