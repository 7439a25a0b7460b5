"""HTTP handlers for callers; docs/CALLERS.md specifies the interface."""

import collections.abc
import contextlib
import typing

import msgspec
from starlette import applications, responses, routing, types
from starlette import requests as web_requests

from cassiaquay_schema import settings as settings_schema

from .. import exceptions, pause
from ..configured import snapshots
from ..fleet import configuration, members
from ..owners import entries, owner, recovery, requests, streams, tokens
from . import addresses, bodies, holds, relay

QUERY_SUFFIXES = ("/outcome", "/cancel")
# Malformed ids are reported up to this length.
MAX_REPORTED_ID_CHARACTERS = 160
OnRefused = collections.abc.Callable[[exceptions.Refusal, str, str], None]
AsgiAppAwaitable = collections.abc.Awaitable[types.ASGIApp]


class Call(typing.NamedTuple):
    """A validated HTTP call about one request id.

    Attributes
    ----------
    request : Request
        The HTTP request.
    id : RequestId
        The request id in its path.
    team : str
        Team of its credential.
    snapshot : Snapshot
        The active configuration.
    body : bytes
        The complete body.
    """

    request: web_requests.Request
    id: tokens.RequestId
    team: str
    snapshot: snapshots.Snapshot
    body: bytes


CallHandler = collections.abc.Callable[[Call], AsgiAppAwaitable]


class Web:
    """The handlers of the callers' address.

    Parameters
    ----------
    settings : Settings
        Limits and keys.
    configured : Configuration
        Holds the teams and services.
    membership : Membership
        Finds the instances that own requests.
    request_owner : Owner
        Table of the requests that this instance owns.
    owner_relay : Relay
        Relays requests to other owners.
    stream_recovery : Recovery
        Finds the streams of failed owners at the engines.
    pauses : Pauses, optional
        Tells whether this instance's state is current after a start or a pause.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        configured: configuration.Configuration,
        membership: members.Membership,
        request_owner: owner.Owner,
        owner_relay: relay.Relay,
        stream_recovery: recovery.Recovery,
        pauses: pause.Pauses | None = None,
    ):
        self._settings = settings
        self._configured = configured
        self._membership = membership
        self._owner = request_owner
        self._relay = owner_relay
        self._recovery = stream_recovery
        self._holds = holds.Holds(owner_relay, membership.last_known)
        self._pauses = pauses or pause.Pauses(pause.shortest_lease(settings))
        self._on_refused: list[OnRefused] = []

    def on_refused(self, listener: OnRefused) -> None:
        """Call ``listener`` for each refusal without an entry in the owner's table.

        It gets the refusal, the id as received, and the team, empty if unknown.
        """
        self._on_refused.append(listener)

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        request_path = "/v1/requests/{id}"
        return applications.Starlette(
            routes=[
                routing.Route("/v1/addresses", self.addresses, methods=["GET"]),
                routing.Route(
                    request_path, self._handler(self._submit), methods=["POST"]
                ),
                routing.Route(
                    request_path, self._handler(self._resume), methods=["GET"]
                ),
                routing.Route(
                    request_path, self._handler(self._acknowledge), methods=["DELETE"]
                ),
                routing.Route(
                    f"{request_path}/cancel",
                    self._handler(self._cancel),
                    methods=["POST"],
                ),
                routing.Route(
                    f"{request_path}/outcome",
                    self._handler(self._outcome),
                    methods=["GET"],
                ),
            ]
        )

    async def addresses(self, request: web_requests.Request) -> responses.Response:
        """Return the addresses that a caller should use."""
        # Right after a pause of this process all other members appear dead, and the
        # answer would direct all callers here; wait for the next membership refresh.
        await self._pauses.wait(self._settings.membership.refresh_seconds)
        domain = request.query_params.get("domain", "")
        answer = addresses.answer(self._settings, self._membership, domain)
        return _json(answer)

    def _handler(
        self, call_handler: CallHandler
    ) -> collections.abc.Callable[[web_requests.Request], AsgiAppAwaitable]:
        async def handle(request: web_requests.Request) -> types.ASGIApp:
            try:
                return await self._handle(request, call_handler)
            except exceptions.OutcomeUnknown as refusal:
                if request.url.path.endswith(QUERY_SUFFIXES):
                    # An unknown outcome is a valid result of a query, not its failure.
                    request_status = entries.RequestStatus(
                        refusal.outcome, refusal.code, "unknown"
                    )
                    return _outcome_response(request_status)
                self._report_refusal(request, refusal)
                return streams.RefusalResponse(refusal)
            except exceptions.Refusal as refusal:
                self._report_refusal(request, refusal)
                return streams.RefusalResponse(refusal)

        return handle

    def _report_refusal(
        self, request: web_requests.Request, refusal: exceptions.Refusal
    ) -> None:
        snapshot = self._configured.current
        team = ""
        if snapshot is not None:
            with contextlib.suppress(exceptions.Refusal):
                team = _team(request, snapshot)
        request_id = request.path_params["id"][:MAX_REPORTED_ID_CHARACTERS]
        for listener in self._on_refused:
            listener(refusal, request_id, team)

    async def _handle(
        self, request: web_requests.Request, call_handler: CallHandler
    ) -> types.ASGIApp:
        snapshot = self._configured.current
        if snapshot is None:
            raise exceptions.NotReady(retry_after_ms=500)
        request_id = tokens.parse(self._settings.keys, request.path_params["id"])
        team = _team(request, snapshot)
        body = await bodies.read(request, self._settings.owner)
        call = Call(request, request_id, team, snapshot, body)
        if self._owner.owns(request_id):
            return await call_handler(call)
        return await self._relay_or_recover(call)

    async def _relay_or_recover(self, call: Call) -> types.ASGIApp:
        member = self._membership.find(call.id.instance)
        hopped = relay.HOP_HEADER in call.request.headers
        if member is not None and member.incarnation == call.id.incarnation:
            if not hopped:
                target = call.request.url.path
                if call.request.url.query:
                    target += f"?{call.request.url.query}"
                try:
                    return await self._relay.forward(
                        member,
                        call.request.method,
                        target,
                        dict(call.request.headers),
                        call.body,
                    )
                except relay.OwnerUnreachable:
                    pass
        return await self._recover(call)

    async def _recover(self, call: Call) -> types.ASGIApp:
        service = call.request.query_params.get("service", "")
        if call.body:
            service = requests.service_of(call.body)
        if service not in call.snapshot.fleet.services:
            service = ""
        key = requests.key_of(call.id, call.team)
        if call.request.url.path.endswith("/cancel"):
            await self._recovery.cancel(key, call.snapshot, service)
            raise exceptions.OwnerLost()
        recovered = await self._recovery.find(key, call.snapshot, service)
        if call.request.method == "DELETE":
            # The engine expires the stream by itself.
            return responses.Response(status_code=204)
        if call.request.url.path.endswith("/outcome"):
            final = recovered.answer.final
            if final is None:
                return _outcome_response(entries.RequestStatus("", "", "dispatched"))
            return _outcome_response(
                entries.RequestStatus(final["outcome"], final["code"], "finished")
            )
        hold = _RecoveredHold(
            recovered, self._holds, call.id, dict(call.request.headers)
        )
        return streams.AnswerResponse(
            recovered.answer,
            _first_event_number(call.request),
            lambda: recovered.refusal,
            hold.start,
            hold.stop,
        )

    async def _submit(self, call: Call) -> types.ASGIApp:
        after = _first_event_number(call.request)
        return self._read(
            self._owner.submit(call.id, call.team, call.body, call.snapshot), after
        )

    async def _resume(self, call: Call) -> types.ASGIApp:
        after = _first_event_number(call.request)
        return self._read(self._owner.find(call.id, call.team), after)

    async def _acknowledge(self, call: Call) -> types.ASGIApp:
        self._owner.acknowledge(call.id, call.team)
        return responses.Response(status_code=204)

    async def _cancel(self, call: Call) -> types.ASGIApp:
        return _outcome_response(await self._owner.cancel(call.id, call.team))

    async def _outcome(self, call: Call) -> types.ASGIApp:
        return _outcome_response(self._owner.outcome(call.id, call.team))

    def _read(self, entry: entries.Entry, after: int) -> types.ASGIApp:
        return streams.AnswerResponse(
            entry.answer,
            after,
            lambda: entry.refusal,
            lambda: self._owner.attach(entry),
            lambda whole: self._owner.detach(entry, whole),
        )


def _team(request: web_requests.Request, snapshot: snapshots.Snapshot) -> str:
    scheme, _, credential = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        raise exceptions.Unauthorized("an Authorization header of type Bearer")
    team = snapshot.team_of(credential)
    if team is None:
        raise exceptions.Unauthorized()
    return team


def _first_event_number(request: web_requests.Request) -> int:
    text = request.query_params.get("from", "0")
    if not text.isdecimal() or len(text) > 9:
        raise exceptions.BadQuery("from: a number of events")
    return int(text)


def _outcome_response(request_status: entries.RequestStatus) -> responses.Response:
    return _json(request_status._asdict())


def _json(value: object) -> responses.Response:
    return responses.Response(msgspec.json.encode(value), media_type="application/json")


class _RecoveredHold:
    """Holds a request at its owner while a recovered answer is being read."""

    def __init__(
        self,
        recovered: recovery.RecoveredStream,
        holding: holds.Holds,
        request_id: tokens.RequestId,
        headers: dict[str, str],
    ):
        self._recovered = recovered
        self._holding = holding
        self._request_id = request_id
        self._headers = headers
        self._stop: collections.abc.Callable[[], None] | None = None

    def start(self) -> None:
        self._recovered.readers += 1
        self._stop = self._holding.start(self._request_id, self._headers)

    def stop(self, delivered: bool) -> None:
        self._recovered.readers -= 1
        if self._stop is not None:
            self._stop()
