"""Read-only adapters for what the platform publishes.

These are the configuration, the instance list and the registered backend servers. To
support another platform protocol, register a class here or in a module of its own; the
settings select it by name.
"""

import typing

import aiohttp
import msgspec

from cassiaquay_schema import messages, registry

from .. import exceptions

ANSWER_TIMEOUT_SECONDS = 3.0


class Published(typing.NamedTuple):
    """A configuration text with its revision."""

    revision: int
    text: str


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
    """Failure domains that the operator has evacuated, at a revision."""

    revision: int
    domains: list[str]


NOTHING_EVACUATED = Evacuated(0, [])


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

    async def watch(self, after: int, wait: float) -> Published | None:
        """Return a revision newer than ``after``, or None after ``wait`` seconds."""


class InstanceList(typing.Protocol):
    """Reads the instance list."""

    def __init__(self, http: aiohttp.ClientSession, address: str): ...

    async def read(self) -> list[ListedInstance]:
        """Return all entries."""


class ServersRead(typing.NamedTuple):
    """The registered backend servers at one revision of the platform."""

    revision: int
    entries: list[messages.ServerEntry]


class ServerStore(typing.Protocol):
    """Reads the registrations of backend servers."""

    def __init__(self, http: aiohttp.ClientSession, address: str): ...

    async def read(self) -> ServersRead:
        """Return all registered servers."""


configuration_services: registry.Registry[type[ConfigurationService]] = (
    registry.Registry("configuration adapter")
)
instance_lists: registry.Registry[type[InstanceList]] = registry.Registry(
    "instance list adapter"
)

server_stores: registry.Registry[type[ServerStore]] = registry.Registry(
    "store of backend servers"
)


class _PublishedBody(typing.TypedDict):
    revision: int
    text: str


class _ListedBody(typing.TypedDict):
    name: str
    kind: str
    domain: str
    http: str
    peer: str
    state: str


class _ListBody(typing.TypedDict):
    instances: list[_ListedBody]


async def _get(
    http: aiohttp.ClientSession, url: str, seconds: float
) -> tuple[int, bytes]:
    timeout = aiohttp.ClientTimeout(total=seconds)
    try:
        async with http.get(url, timeout=timeout) as response:
            return response.status, await response.read()
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        raise exceptions.PlatformError(repr(error)) from error


@configuration_services.register("config-http")
class ConfigurationHttp:
    """Reads the configuration over HTTP by long polling."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self.evacuated = NOTHING_EVACUATED
        self._http = http
        self._url = f"http://{address}/v1/config"

    async def watch(self, after: int, wait: float) -> Published | None:
        """Return a revision newer than ``after``, or None after ``wait`` seconds."""
        url = f"{self._url}?after={after}&wait={wait}"
        status, body = await _get(self._http, url, wait + ANSWER_TIMEOUT_SECONDS)
        if status == 204:
            return None
        if status != 200:
            raise exceptions.PlatformError(f"configuration service: status {status}")
        try:
            decoded = msgspec.json.decode(body, type=_PublishedBody)
        except msgspec.DecodeError as error:
            raise exceptions.PlatformError(str(error)) from error
        return Published(decoded["revision"], decoded["text"])


@instance_lists.register("instances-http")
class InstancesHttp:
    """Reads the instance list over HTTP."""

    def __init__(self, http: aiohttp.ClientSession, address: str):
        self._http = http
        self._url = f"http://{address}/v1/instances"

    async def read(self) -> list[ListedInstance]:
        """Return all entries."""
        status, body = await _get(self._http, self._url, ANSWER_TIMEOUT_SECONDS)
        if status != 200:
            raise exceptions.PlatformError(f"instance list: status {status}")
        try:
            decoded = msgspec.json.decode(body, type=_ListBody)
        except msgspec.DecodeError as error:
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
