"""Client of the operators' addresses of a fleet, starting at a known instance."""

import asyncio
import os
import typing

import aiohttp
import msgspec

from cassiaquay_schema import bodies

from . import exceptions

ADDRESS_VARIABLE = "CASSIAQUAY_ADMIN"
CREDENTIAL_VARIABLE = "CASSIAQUAY_CREDENTIAL"
CALL_TIMEOUT_SECONDS = 5.0
# Larger than the history of a busy instance.
MAX_BODY_BYTES = 64 * 1024 * 1024

Body = typing.TypeVar("Body")


class Missing(typing.NamedTuple):
    """An instance that did not respond, and the reason."""

    instance: str
    reason: str


class Collected(typing.NamedTuple, typing.Generic[Body]):
    """Responses from the instances of a fleet.

    Attributes
    ----------
    answers : dict of str to Body
        Decoded response bodies by instance name.
    missing : list of Missing
        Instances that did not respond.
    """

    answers: dict[str, Body]
    missing: list[Missing]


class Client:
    """HTTP client that sends the credential of the environment with each call.

    Parameters
    ----------
    at : str
        host:port of the instance to start with, or a comma-separated list of which the
        first that responds is used; taken from the environment when empty.
    http : ClientSession
        Connections to daemons.
    """

    def __init__(self, at: str, http: aiohttp.ClientSession):
        text = at or os.environ.get(ADDRESS_VARIABLE, "")
        self.addresses = [part.strip() for part in text.split(",") if part.strip()]
        if not self.addresses:
            raise exceptions.AddressMissing(
                "no address given: set --at=HOST:PORT or the environment variable"
                f" {ADDRESS_VARIABLE}; it is `admin=` in a daemon's log line `ready`"
            )
        self.at = self.addresses[0]
        self._http = http
        self._credential = os.environ.get(CREDENTIAL_VARIABLE, "")

    async def select_address(self) -> None:
        """Select the first address that responds; raise NoResponse when none does.

        An instance that refuses the health call, as it is not ready, has responded.
        """
        last: exceptions.NoResponse | None = None
        for address in self.addresses:
            try:
                await self.get("/v1/health", bodies.Health, address)
            except exceptions.Refused:
                pass
            except exceptions.NoResponse as error:
                last = error
                continue
            self.at = address
            return
        if last is not None:
            raise last

    async def get(self, path: str, body_type: type[Body], at: str = "") -> Body:
        """Return the decoded response of one instance."""
        body = await self._call("GET", at or self.at, path)
        try:
            return msgspec.json.decode(body, type=body_type)
        except msgspec.DecodeError as error:
            raise exceptions.NotOperatorsAddress(
                f"{at or self.at} sent an unexpected body for {path}: {error}"
            ) from error

    async def post(self, path: str, at: str) -> None:
        """Send a command to one instance."""
        await self._call("POST", at, path)

    async def instances(self) -> list[bodies.Instance]:
        """Return the instances of the fleet in the selected instance's view."""
        return await self.get("/v1/instances", list[bodies.Instance])

    async def collect(
        self, path: str, body_type: type[Body], instances: list[bodies.Instance]
    ) -> Collected[Body]:
        """Call all instances; return their responses and those that sent none."""
        answers: dict[str, Body] = {}
        missing = []
        reachable = [item for item in instances if item["admin"]]
        for item in instances:
            if not item["admin"]:
                reason = "listed by the platform, but no heartbeat of it is heard"
                missing.append(Missing(item["instance"], reason))
        calls = [self.get(path, body_type, item["admin"]) for item in reachable]
        results = await asyncio.gather(*calls, return_exceptions=True)
        for item, answer in zip(reachable, results, strict=True):
            if isinstance(answer, exceptions.NotAllowed):
                raise answer
            if isinstance(answer, exceptions.CommandError):
                missing.append(Missing(item["instance"], str(answer)))
                continue
            if isinstance(answer, BaseException):
                raise answer
            answers[item["instance"]] = answer
        return Collected(answers, missing)

    async def _call(self, method: str, at: str, path: str) -> bytes:
        headers = {}
        if self._credential:
            headers["Authorization"] = f"Bearer {self._credential}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        request = self._http.request(
            method, f"http://{at}{path}", headers=headers, timeout=timeout
        )
        try:
            async with request as response:
                body = await _read_body(response)
                _raise_for_status(at, path, response.status, body)
                return body
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            raise exceptions.NoResponse(
                f"no daemon answers at {at} ({_describe(error)}); is it up, and is this"
                " its `admin=` address rather than `http=` or `peer=`? Any other"
                " instance of the fleet can be used as well"
            ) from error


def missing_lines(missing: list[Missing]) -> list[str]:
    """Return one line for each instance that did not respond."""
    return [f"no answer of {item.instance}: {item.reason}" for item in missing]


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    while data := await response.content.readany():
        body += data
        if len(body) > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError(f"over {MAX_BODY_BYTES} bytes")
    return bytes(body)


def _raise_for_status(at: str, path: str, status: int, body: bytes) -> None:
    if status < 300:
        return
    try:
        problem = msgspec.json.decode(body, type=bodies.Problem)
    except msgspec.DecodeError:
        problem = bodies.Problem()
    code = problem.get("code", "")
    message = f"{at}: {code or status}: {problem.get('message', '')}"
    if status in (401, 403) and code:
        raise exceptions.NotAllowed(
            f"{message}; put the credential into {CREDENTIAL_VARIABLE}"
        )
    if not code:
        raise exceptions.NotOperatorsAddress(
            f"the server at {at} has no path {path} (status {status});"
            " is it the callers' address? The operators' is `admin=` in the log line"
            " `ready`"
        )
    raise exceptions.Refused(message)


def _describe(error: Exception) -> str:
    if isinstance(error, aiohttp.ClientConnectorError):
        return error.os_error.strerror or str(error)
    if isinstance(error, TimeoutError):
        return f"no answer within {CALL_TIMEOUT_SECONDS:.0f} s"
    return str(error) or type(error).__name__
