"""Refreshes an instance's state before it serves, at its start and after each pause.

It queries the platform and its neighbours. Only answers to queries sent after the pause
count, because messages in connection buffers were sent during the pause.
"""

import asyncio

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs, pause, platform, positions
from ..links import peers
from . import configuration, members, servers

POLL_INTERVAL_SECONDS = 0.02
# Neighbours have this long to answer if the platform answers first; live ones take some
# milliseconds. During a fleet start an instance's neighbours change with each instance
# that it discovers, and waiting for all would refuse every caller for seconds.
NEIGHBOUR_TIMEOUT_SECONDS = 0.3
# The list of servers is read at once after a pause, perhaps just before the refresh
# begins; what was read before a pause is older than this.
READ_AHEAD_SECONDS = 0.3
# While the platform is away nothing confirms the list.
LIST_TIMEOUT_SECONDS = 0.3


class Renewal:
    """Queries the platform and the neighbours whenever local state may be stale.

    Parameters
    ----------
    settings : Settings
        How long to wait for answers.
    pauses : Pauses
        Keeps this instance from serving until the refresh is done.
    links : Peers
        Connections to the other instances.
    membership : Membership
        Supplies the neighbours; updated from their answers.
    configured : Configuration
        Updated from the answers.
    service : ConfigurationService
        The platform's configuration service.
    listing : InstanceList
        The platform's instance list, read first to find the neighbours.
    server_list : Servers, optional
        The list of backend servers, if they register with the platform.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        pauses: pause.Pauses,
        links: peers.Peers,
        membership: members.Membership,
        configured: configuration.Configuration,
        service: platform.ConfigurationService,
        listing: platform.InstanceList,
        server_list: servers.Servers | None = None,
    ):
        self._servers = server_list
        self._timeout_s = settings.membership.refresh_seconds
        self._pauses = pauses
        self._links = links
        self._membership = membership
        self._configured = configured
        self._service = service
        self._listing = listing
        self._refresh_number = 0
        self._answers: dict[str, messages.Refreshed] = {}
        self._is_refresh_needed = asyncio.Event()
        links.on(messages.Refresh, self._handle_refresh)
        links.on(messages.Refreshed, self._handle_refreshed)
        pauses.on_resume(self._is_refresh_needed.set)

    def start(self) -> None:
        """Hold this instance back and request a first refresh."""
        self._pauses.hold()
        self._configured.hold()
        self._is_refresh_needed.set()

    async def run(self) -> None:
        """Refresh after a start or a pause, until cancelled."""
        while True:
            await self._is_refresh_needed.wait()
            self._is_refresh_needed.clear()
            try:
                await self._refresh_once()
            except Exception:
                # Until a refresh succeeds, this instance serves nothing.
                self._is_refresh_needed.set()
                raise
            if self._is_refresh_needed.is_set():
                continue
            self._configured.release()
            self._membership.update()
            self._pauses.release()
            logs.event(
                "renewed",
                peers=len(self._answers),
                revision=self._configured.revision,
            )

    async def _refresh_once(self) -> None:
        self._refresh_number += 1
        self._answers = {}
        began = clock.now()
        tried = asyncio.Event()
        service = asyncio.create_task(self._query_platform(tried))
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._membership.read_list_once(self._listing)
                await self._wait_for_peers(service, began)
                # A peer may have a newer text than a stale platform: wait for it, so
                # that no older text comes into force again.
                await self._fetch_newest_text()
                await (tried.wait() if self._answers else service)
                await self._wait_for_list(began)
        except TimeoutError:
            # Peers that did not answer may have failed or be partitioned off; waiting
            # longer would only take this instance out of service too.
            logs.trouble("renewal_incomplete", peers=len(self._answers))
        finally:
            service.cancel()

    async def _query_platform(self, tried: asyncio.Event) -> None:
        """Query until the platform answers; set ``tried`` after the first attempt.

        Answers get lost, and during a fleet start no other source has the text.
        """
        while not await self._configured.watch_once(self._service, 0.0):
            tried.set()
        tried.set()

    async def _wait_for_peers(self, service: asyncio.Task[None], began: float) -> None:
        """Query the neighbours; once the platform has answered, wait only briefly."""
        peers_task = asyncio.create_task(self._query_peers(began))
        try:
            await asyncio.wait(
                [peers_task, service], return_when=asyncio.FIRST_COMPLETED
            )
            if service.done():
                remaining_s = began + NEIGHBOUR_TIMEOUT_SECONDS - clock.now()
                await asyncio.wait([peers_task], timeout=max(remaining_s, 0.0))
            else:
                await peers_task
        finally:
            peers_task.cancel()

    async def _wait_for_list(self, began: float) -> None:
        """Wait briefly until the list of servers is confirmed."""
        if self._servers is None:
            return
        ends_at = clock.now() + LIST_TIMEOUT_SECONDS
        while self._servers.age > clock.now() - began + READ_AHEAD_SECONDS:
            if clock.now() >= ends_at:
                logs.event("renewed_without_servers", age_ms=self._servers.age_ms)
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _query_peers(self, began: float) -> None:
        queried: set[str] = set()
        while True:
            is_waiting = False
            for name, address in self._membership.neighbours().items():
                link = self._links.link(name, address)
                if link is not None and link.instance not in queried:
                    queried.add(link.instance)
                    link.send(messages.Refresh(self._refresh_number))
                if self._links.failed_since(name, began):
                    continue
                if link is None or link.instance not in self._answers:
                    is_waiting = True
            if not is_waiting and (self._answers or self._membership.listed):
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _fetch_newest_text(self) -> None:
        highest = positions.NO_VERSION
        holder = ""
        for name, answer in self._answers.items():
            version = positions.version_in(answer)
            if version > highest:
                highest = version
                holder = name
        while self._configured.should_fetch(highest):
            link = self._membership.link(holder)
            if link is not None:
                self._configured.send_query(link)
            await asyncio.sleep(configuration.REQUEST_TIMEOUT_SECONDS / 4)

    def _handle_refresh(self, link: peers.Link, question: messages.Refresh) -> None:
        newest = self._configured.newest_version
        link.send(
            messages.Refreshed(
                question.number,
                newest.revision,
                newest.digest,
                self._membership.facts_to_send(),
                newest.number,
                newest.epoch,
            )
        )

    def _handle_refreshed(self, link: peers.Link, answer: messages.Refreshed) -> None:
        if answer.number != self._refresh_number:
            return
        self._answers[link.instance] = answer
        for member in answer.members:
            self._membership.learn(member)
