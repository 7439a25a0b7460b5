"""HTTP interface for operators and teams, on a separate listening address.

All calls only read, except the one that drains this instance. docs/OPERATIONS.md lists
the calls.
"""

import collections.abc

import aiohttp
import msgspec
from starlette import applications, requests, responses, routing

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, exceptions, logs
from . import (
    burn,
    explain,
    keeper_view,
    metrics,
    refusals,
    reports,
    viewers,
    views,
)

MAX_HISTORY = 1000
DEFAULT_HISTORY = 100

ResponseAwaitable = collections.abc.Awaitable[responses.Response]
Endpoint = collections.abc.Callable[
    [requests.Request, viewers.Viewer], ResponseAwaitable
]


class Admin:
    """HTTP handlers of the operators' address.

    Parameters
    ----------
    settings : Settings
        Name of this instance and digests of the operators' credentials.
    incarnation : str
        Identifies this start of the process.
    parts : Parts
        Components of the daemon whose state is shown.
    recorded : Reports
        Metrics, history and error-budget burn.
    http : ClientSession
        Connections to other instances.
    drain : callable
        Starts the graceful shutdown.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        incarnation: str,
        parts: reports.Parts,
        recorded: reports.Reports,
        http: aiohttp.ClientSession,
        drain: collections.abc.Callable[[], None],
    ):
        self._settings = settings
        self._incarnation = incarnation
        self._parts = parts
        self._reports = recorded
        self._viewers = viewers.Viewers(settings, parts.configured)
        self._explainer = explain.Explainer(settings, parts, http)
        self._drain = drain

    def application(self) -> applications.Starlette:
        """Return the ASGI application."""
        endpoints: dict[str, Endpoint] = {
            "/v1/status": self._status,
            "/v1/instances": self._instances,
            "/v1/servers": self._servers,
            "/v1/keepers": self._keepers,
            "/v1/queues": self._queues,
            "/v1/configuration": self._configuration,
            "/v1/history": self._history,
            "/v1/burn": self._burn,
            "/v1/explain": self._explain,
            "/v1/placement": self._placement,
        }
        routes = [
            routing.Route("/v1/health", self._health, methods=["GET"]),
            routing.Route("/metrics", self._open_metrics, methods=["GET"]),
        ]
        for path, endpoint in endpoints.items():
            routes.append(routing.Route(path, self._handler(endpoint), methods=["GET"]))
        drain_handler = self._handler(self._begin_drain)
        routes.append(routing.Route("/v1/drain", drain_handler, methods=["POST"]))
        return applications.Starlette(routes=routes)

    def _handler(
        self, endpoint: Endpoint
    ) -> collections.abc.Callable[[requests.Request], ResponseAwaitable]:
        async def handle(request: requests.Request) -> responses.Response:
            try:
                return await endpoint(request, self._viewers.authenticate(request))
            except refusals.AdminRefusal as error:
                body = {"code": error.code, "message": str(error)}
                return _json(body, int(error.status))

        return handle

    async def _health(self, request: requests.Request) -> responses.Response:
        ready = self._parts.configured.current is not None
        body = {
            "instance": self._settings.instance,
            "ready": ready,
            "leaving": self._parts.membership.leaving,
        }
        if ready:
            return _json(body)
        refusal = exceptions.NotReady()
        body |= {"code": refusal.code, "message": refusal.message}
        return _json(body, int(refusal.status))

    async def _status(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        viewer.require_operator()
        parts = self._parts
        body = {
            "instance": self._settings.instance,
            "incarnation": self._incarnation,
            "domain": self._settings.domain,
            "region": self._settings.region,
            "since": self._reports.since,
            "leaving": parts.membership.leaving,
            "revision": parts.configured.revision,
            "rejected": parts.configured.rejected,
            "members": [member.instance for member in parts.membership.serving()],
            "open": parts.owned.open_count,
            "ended": self._reports.metrics.total(metrics.REQUESTS, 2),
            "shards": {
                name: {"queue": len(shard.queue), "running": len(shard.running)}
                for name, shard in parts.kept.shards.items()
            },
        }
        return _json(body)

    async def _instances(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        # Open to teams as well: a team collects its queues and refusals from all
        # instances.
        return _json(views.instances(self._parts.membership))

    async def _servers(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        viewer.require_operator()
        return _json(views.servers(self._parts, self._settings))

    async def _keepers(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        viewer.require_operator()
        return _json(views.keepers(self._parts))

    async def _queues(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        tiers = views.tier_names(self._parts)
        return _json(views.queues(self._parts, viewer, tiers, clock.now()))

    async def _configuration(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        viewer.require_operator()
        with_text = request.query_params.get("text", "") == "1"
        return _json(views.configuration(self._parts, with_text))

    async def _history(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        limit = _number(request, "limit", DEFAULT_HISTORY, MAX_HISTORY)
        return _json(self._reports.history.recent(limit, viewer.team))

    async def _burn(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        burn_report = self._reports.burn.report(clock.now())
        if viewer.team:
            burn_report = _restrict_to_team(burn_report, viewer.team)
        snapshot = self._parts.configured.current
        objectives = []
        if snapshot is not None:
            for name, service in snapshot.fleet.services.items():
                for item in service.objectives:
                    objectives.append(
                        {
                            "service": name,
                            "tier": item.tier,
                            "share": item.share,
                            "within_ms": item.within_ms,
                        }
                    )
        body = {
            "instance": self._settings.instance,
            "incarnation": self._incarnation,
            "since": self._reports.since,
            "revision": self._parts.configured.revision,
            "objectives": objectives,
            "report": burn_report,
        }
        return _json(body)

    async def _explain(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        authorization = request.headers.get("authorization", "")
        text = request.query_params.get("id", "")
        if text:
            return _json(
                await self._explainer.explain_by_id(text, viewer, authorization)
            )
        description = explain.Description(
            request.query_params.get("service", ""),
            viewer.team or request.query_params.get("team", ""),
            request.query_params.get("tier", ""),
            _number(request, "prompt_tokens", 0, 10_000_000),
            _number(request, "output_tokens", 256, 10_000_000),
        )
        return _json(
            await self._explainer.explain_described(description, authorization)
        )

    async def _placement(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        # The keeper's part of an explanation. It holds server loads and queue lengths
        # but no names of teams or requests, so teams may read it too. The share of a
        # team is shown to that team and to operators.
        demand = messages.Demand(
            request.query_params.get("id", ""),
            request.query_params.get("shard", ""),
            "",
            viewer.team or request.query_params.get("team", ""),
            _number(request, "rank", 0, 1000),
            _number(request, "prompt_tokens", 0, 10_000_000),
            _number(request, "output_tokens", 0, 10_000_000),
            0,
            "",
            [],
            [],
        )
        return _json(keeper_view.explain_placement(self._parts, self._settings, demand))

    async def _open_metrics(self, request: requests.Request) -> responses.Response:
        # The platform's metrics collector has no credential. The page names services,
        # servers and the teams with the most requests, but holds no request data.
        if self._settings.open_metrics:
            return await self._metrics(request, viewers.Viewer(""))
        return await self._handler(self._metrics)(request)

    async def _metrics(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        viewer.require_operator()
        body, headers = self._reports.page(request.headers.getlist("accept"))
        return responses.Response(body, headers=headers)

    async def _begin_drain(
        self, request: requests.Request, viewer: viewers.Viewer
    ) -> responses.Response:
        viewer.require_operator()
        logs.event("drain_ordered", open=self._parts.owned.open_count)
        self._drain()
        return responses.Response(status_code=202)


def _restrict_to_team(report: burn.Report, team: str) -> burn.Report:
    for window in report["windows"]:
        team_counts = []
        for count in window["counts"]:
            if count["axis"] == "team" and count["name"] == team:
                team_counts.append(count)
        window["counts"] = team_counts
    return burn.Report(windows=report["windows"], fast=[], slow=[], excluded=0)


def _number(request: requests.Request, name: str, default: int, limit: int) -> int:
    text = request.query_params.get(name, "")
    if not text:
        return default
    if not text.isascii() or not text.isdecimal() or len(text) > 9:
        raise refusals.AdminBadRequest(f"{name}: a whole number")
    return min(int(text), limit)


def _json(value: object, status: int = 200) -> responses.Response:
    body = msgspec.json.encode(value)
    return responses.Response(body, status, media_type="application/json")
