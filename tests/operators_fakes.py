"""One daemon's components without a process, to test the operators' interface."""

import asyncio
import hashlib
import logging
import typing

import aiohttp
import msgspec
from starlette import applications, types

from cassiaquay_daemon import platform
from cassiaquay_daemon.adapters import answers
from cassiaquay_daemon.decisions import quarantine
from cassiaquay_daemon.fleet import configuration, members
from cassiaquay_daemon.interface import relay
from cassiaquay_daemon.keepers import demands, keeper
from cassiaquay_daemon.links import peers
from cassiaquay_daemon.operators import admin, reports
from cassiaquay_daemon.owners import owner, recovery, requests, tokens
from cassiaquay_dev import deployments
from cassiaquay_schema import settings as settings_schema

DEPLOYMENT = deployments.BRINDLEY
NAMES = [item.name for item in [*DEPLOYMENT.engines, *DEPLOYMENT.plains]]
TEXT = deployments.fleet_text(
    DEPLOYMENT, {name: f"127.0.0.1:{9000 + i}" for i, name in enumerate(NAMES)}
)
OPERATOR = "credential-of-an-operator"
KEY = "key"


def settings(**overrides: typing.Any) -> settings_schema.Settings:
    """Return the settings of one daemon."""
    return msgspec.convert(
        {
            "instance": "cq-1",
            "domain": "derby",
            "keys": [KEY],
            "platform": {"configuration": "127.0.0.1:1", "instances": "127.0.0.1:1"},
            **overrides,
        },
        settings_schema.Settings,
    )


class Reply(typing.NamedTuple):
    """A response of the operators' address."""

    status: int
    body: bytes

    @property
    def json(self) -> typing.Any:
        """The decoded body."""
        return msgspec.json.decode(self.body)


class Instance:
    """Components of one daemon; its operators' application is called in process."""

    def __init__(self, chosen: settings_schema.Settings, http: aiohttp.ClientSession):
        self.settings = chosen
        links = peers.Peers(chosen, "abcdefabcdef")
        self.configured = configuration.Configuration(chosen, links)
        self.membership = members.Membership(
            chosen, "abcdefabcdef", links, lambda: "token", lambda: (0.0, 1)
        )
        kept = keeper.Keeper(chosen, links, self.membership, self.configured)
        demanding = demands.Demands(chosen, links, self.membership, kept)
        self.owned = owner.Owner(
            chosen,
            "abcdefabcdef",
            http,
            demanding,
            self.membership.is_leaving,
            lambda: "",
        )
        self.kept = kept
        self.parts = reports.Parts(
            self.configured,
            self.membership,
            self.owned,
            kept,
            links,
            relay.Relay(chosen, http, self.membership.find),
            recovery.Recovery(http),
            quarantine.Quarantine(chosen),
        )
        self.reports = reports.Reports(chosen, self.parts)
        self.drained = False
        self.configured.accept(platform.Published(1, TEXT))
        self.application: applications.Starlette = admin.Admin(
            chosen, "abcdefabcdef", self.parts, self.reports, http, self._drain
        ).application()

    def _drain(self) -> None:
        self.drained = True

    def entry(self, team: str, tier: str = "urgent", unique: str = "a") -> owner.Entry:
        """Add a waiting entry of the model service to the owner's table; return it."""
        token = tokens.mint(KEY, "cq-1", "abcdefabcdef", 60.0)
        request_id = tokens.parse([KEY], f"{token}~{unique}")
        body = {"service": DEPLOYMENT.model_service, "tier": tier, "prompt": "why"}
        snapshot = self.configured.current
        assert snapshot is not None
        accepted = requests.accept(
            request_id, team, msgspec.json.encode(body), snapshot
        )
        entry = owner.Entry(accepted)
        entry.answer = answers.Answer()
        self.owned.table[request_id.text] = entry
        return entry

    async def call(
        self,
        path: str,
        credential: str = "",
        method: str = "GET",
        client: str = "127.0.0.1",
        origin: str = "",
    ) -> Reply:
        """Call the operators' address as if from ``client``."""
        target, _, query = path.partition("?")
        headers = []
        if credential:
            headers.append((b"authorization", f"Bearer {credential}".encode()))
        if origin:
            headers.append((b"origin", origin.encode()))
        scope: types.Scope = {
            "type": "http",
            "method": method,
            "path": target,
            "raw_path": target.encode(),
            "root_path": "",
            "query_string": query.encode(),
            "headers": headers,
            "client": (client, 1),
            "server": ("127.0.0.1", 2),
            "scheme": "http",
            "http_version": "1.1",
        }
        sent: list[types.Message] = []

        async def receive() -> types.Message:
            return {"type": "http.request", "body": b"", "more_body": False}

        async def send(message: types.Message) -> None:
            sent.append(message)

        await self.application(scope, receive, send)
        body = b"".join(item.get("body", b"") for item in sent[1:])
        return Reply(sent[0]["status"], body)


def run(
    test: typing.Callable[[Instance], typing.Awaitable[None]], **overrides: typing.Any
) -> None:
    """Run a test with one instance, in an event loop of its own."""

    async def run_with_instance() -> None:
        async with aiohttp.ClientSession() as http:
            instance = Instance(settings(**overrides), http)
            try:
                await test(instance)
            finally:
                logging.getLogger("cassiaquay").removeHandler(instance.reports.history)

    asyncio.run(run_with_instance())


def digest(credential: str) -> str:
    """Return the digest of a credential, as in settings."""
    return hashlib.sha256(credential.encode()).hexdigest()
