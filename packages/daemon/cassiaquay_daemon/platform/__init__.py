"""Read-only adapters for what the platform publishes.

These are the configuration, the instance list and the registered backend servers. To
support another platform protocol, register a class here or in a module of its own; the
settings select it by name.
"""

import collections.abc
import types
import typing

import aiohttp
import msgspec

from cassiaquay_schema import messages, registry

from .. import bounded_http, decoding, exceptions, positions
from . import epochs, numbers

ANSWER_TIMEOUT_SECONDS = 3.0
# Twice the longest message between instances, by which texts spread as well.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class Published(typing.NamedTuple):
    """A configuration text and where it was written.

    Attributes
    ----------
    revision, epoch : int
        Place in the platform's history.
    text : str
        The text.
    number : int or None
        The operators' number of the text, by which texts are ordered; 0 if texts of
        this platform have none, None if it cannot be read.
    """

    revision: int
    text: str
    epoch: int = 0
    number: int | None = 0

    @property
    def position(self) -> positions.Position:
        """Place in the platform's history where the text was written."""
        return positions.Position(self.epoch, self.revision)


class ListedInstance(typing.NamedTuple):
    """One entry of the instance list.

    Attributes
    ----------
    name, domain : str
        Name and failure domain.
    kind : str
        ``entry`` or ``backend``.
    http, peer : str
        Addresses as host:port; ``peer`` is empty for backend servers.
    leaving : bool
        Whether it is shutting down.
    """

    name: str
    domain: str
    kind: str
    http: str
    peer: str
    leaving: bool


class Evacuated(typing.NamedTuple):
    """Failure domains that the operator has evacuated, as read at a position."""

    position: positions.Position
    domains: list[str]


NOTHING_EVACUATED = Evacuated(positions.START, [])


class ConfigurationService(typing.Protocol):
    """Reads the configuration.

    Attributes
    ----------
    evacuated : Evacuated
        Evacuated failure domains as of the last read; empty for a platform that names
        them in the configuration text.
    """

    evacuated: Evacuated

    def __init__(self, http: aiohttp.ClientSession, address: str): ...

    async def watch(self, after: positions.Position, wait: float) -> Published | None:
        """Return a text written after a position, or None after ``wait`` seconds."""


class InstanceList(typing.Protocol):
    """Reads the instance list."""

    def __init__(self, http: aiohttp.ClientSession, address: str): ...

    async def read(self) -> list[ListedInstance]:
        """Return all entries."""


class ServersRead(typing.NamedTuple):
    """The registered backend servers as read at a position."""

    position: positions.Position
    entries: list[messages.ServerEntry]


class ServersPast(typing.NamedTuple):
    """What the history of the platform shows of backend servers, oldest first.

    Attributes
    ----------
    written : list of ServerEntry
        Each valid entry as it was written.
    removed : list of str
        Names of the servers whose entries were removed.
    removed_at, created_at : mapping of str to int
        Revisions of the last removal and creation of an entry, by its server's name.
    is_whole : bool
        Whether nothing was discarded before it.
    """

    written: list[messages.ServerEntry]
    removed: list[str]
    removed_at: collections.abc.Mapping[str, int] = types.MappingProxyType({})
    created_at: collections.abc.Mapping[str, int] = types.MappingProxyType({})
    is_whole: bool = False


class ServerStore(typing.Protocol):
    """Reads the registrations of backend servers."""

    def __init__(self, http: aiohttp.ClientSession, address: str): ...

    async def read(self) -> ServersRead:
        """Return all registered servers."""

    async def read_past(self) -> ServersPast:
        """Return the changes of registrations that the platform still has."""


configuration_services: registry.Registry[type[ConfigurationService]] = (
    registry.Registry("configuration adapter")
)
instance_lists: registry.Registry[type[InstanceList]] = registry.Registry(
    "instance list adapter"
)

server_stores: registry.Registry[type[ServerStore]] = registry.Registry(
    "store of backend servers"
)


class _PublishedBody(msgspec.Struct):
    revision: numbers.Count
    text: str
    # The operators' number of the text.
    number: int = 0


class _ListedBody(typing.TypedDict):
    name: str
    kind: str
    domain: str
    http: str
    peer: str
    state: str


class _ListBody(typing.TypedDict):
    instances: list[_ListedBody]


class _Answer(typing.NamedTuple):
    status: int
    body: bytes
    headers: collections.abc.Mapping[str, str]


async def _get(http: aiohttp.ClientSession, url: str, seconds: float) -> _Answer:
    timeout = aiohttp.ClientTimeout(total=seconds)
    try:
        async with http.get(url, timeout=timeout) as response:
            body = await bounded_http.read_body(response, MAX_ANSWER_BYTES)
            return _Answer(response.status, body, response.headers)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise exceptions.PlatformError(repr(error)) from error


@configuration_services.register("config-http")
class ConfigurationHttp:
    """Reads the configuration over HTTP by long polling."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self.evacuated = NOTHING_EVACUATED
        self._http = http
        self._url = f"http://{address}/v1/config"
        self._epochs = epochs.Epochs()

    async def watch(self, after: positions.Position, wait: float) -> Published | None:
        """Return a text written after a position, or None after ``wait`` seconds."""
        answer, epoch = await self._read(after.revision, wait)
        if epoch > after.epoch and after.revision:
            # Revisions of different epochs do not compare: read what there is.
            answer, epoch = await self._read(0, 0.0)
        if answer.status == 204:
            return None
        try:
            decoded: _PublishedBody
            decoded = decoding.decode_json(answer.body, _PublishedBody)
        except exceptions.UndecodableText as error:
            raise exceptions.PlatformError(str(error)) from error
        number = numbers.clamp(decoded.number)
        found = Published(decoded.revision, decoded.text, epoch, number)
        return found if found.position > after else None

    async def _read(self, after: int, wait: float) -> tuple[_Answer, int]:
        """Return an answer with or without a text, and its epoch."""
        url = f"{self._url}?after={after}&wait={wait}"
        answer = await _get(self._http, url, wait + ANSWER_TIMEOUT_SECONDS)
        if answer.status not in (200, 204):
            raise exceptions.PlatformError(
                f"configuration service: status {answer.status}"
            )
        return answer, self._epochs.read(answer.headers)


@instance_lists.register("instances-http")
class InstancesHttp:
    """Reads the instance list over HTTP."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self._http = http
        self._url = f"http://{address}/v1/instances"

    async def read(self) -> list[ListedInstance]:
        """Return all entries."""
        answer = await _get(self._http, self._url, ANSWER_TIMEOUT_SECONDS)
        if answer.status != 200:
            raise exceptions.PlatformError(f"instance list: status {answer.status}")
        try:
            decoded: _ListBody = decoding.decode_json(answer.body, _ListBody)
        except exceptions.UndecodableText as error:
            raise exceptions.PlatformError(str(error)) from error
        lines = []
        for line in decoded["instances"]:
            lines.append(
                ListedInstance(
                    line["name"],
                    line["domain"],
                    line["kind"],
                    line["http"],
                    line["peer"],
                    line["state"] != "live",
                )
            )
        return lines
