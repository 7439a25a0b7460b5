"""What an instance learns before it acts: at its start, and after each pause.

It asks the platform and its neighbours. Only answers to questions asked now count:
what lies in the buffers of its connections was sent during the pause.
"""

import asyncio

from cassiaquay_schema import messages
from cassiaquay_schema import settings as settings_schema

from .. import clock, logs, pause, platform
from ..links import peers
from . import configuration, members

POLL_SECONDS = 0.02
# Neighbours have so long to answer once the platform has. Those that live answer within
# some milliseconds. While a whole fleet starts, the neighbours of an instance change
# with each one that it hears of, and waiting for all of them takes seconds in which
# every caller is refused.
NEIGHBOURS_SECONDS = 0.3


class Renewal:
    """Asks what is true now, whenever this instance may not know.

    Parameters
    ----------
    settings : Settings
        How long to wait for answers.
    pauses : Pauses
        Holds this instance back meanwhile.
    links : Peers
        Connections to the others.
    membership : Membership
        Whom to ask; learns from the answers.
    configured : Configuration
        Learns from the answers.
    service : ConfigurationService
        Asked too.
    listing : InstanceList
        Read first, to know whom to ask.
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
    ):
        self._seconds = settings.membership.refresh_seconds
        self._pauses = pauses
        self._links = links
        self._membership = membership
        self._configured = configured
        self._service = service
        self._listing = listing
        self._number = 0
        self._answers: dict[str, messages.Refreshed] = {}
        self._needed = asyncio.Event()
        links.on(messages.Refresh, self._refresh)
        links.on(messages.Refreshed, self._refreshed)
        pauses.on_resume(self._needed.set)

    def start(self) -> None:
        """Hold this instance back, as it is at its start."""
        self._pauses.hold()
        self._configured.hold()
        self._needed.set()

    async def run(self) -> None:
        """Renew whenever it is needed, for ever."""
        while True:
            await self._needed.wait()
            self._needed.clear()
            await self._renew()
            if self._needed.is_set():
                continue
            self._configured.settle()
            self._membership.update()
            self._pauses.release()
            logs.event(
                "renewed",
                peers=len(self._answers),
                revision=self._configured.revision,
            )

    async def _renew(self) -> None:
        self._number += 1
        self._answers = {}
        began = clock.now()
        tried = asyncio.Event()
        service = asyncio.create_task(self._ask_platform(tried))
        try:
            async with asyncio.timeout(self._seconds):
                await self._membership.read_list_once(self._listing)
                await self._hear_peers(service, began)
                # A text that one of them has and the platform does not is waited for:
                # the platform may be behind, and an older text must not come back.
                await self._take_highest()
                await (tried.wait() if self._answers else service)
        except TimeoutError:
            # Whoever has not answered by now may be dead, or on the other side of a
            # partition; waiting on would stop this side too.
            logs.trouble("renewal_incomplete", peers=len(self._answers))
        finally:
            service.cancel()

    async def _ask_platform(self, tried: asyncio.Event) -> None:
        """Ask until the platform answers; say so when it has been asked once.

        It loses answers, and while a whole fleet starts nobody else can tell.
        """
        while not await self._configured.watch_once(self._service, 0.0):
            tried.set()
        tried.set()

    async def _hear_peers(self, service: asyncio.Task[None], began: float) -> None:
        """Ask neighbours; stop waiting for their answers when the platform has told."""
        asking = asyncio.create_task(self._ask_peers(began))
        try:
            await asyncio.wait([asking, service], return_when=asyncio.FIRST_COMPLETED)
            if service.done():
                left = began + NEIGHBOURS_SECONDS - clock.now()
                await asyncio.wait([asking], timeout=max(left, 0.0))
            else:
                await asking
        finally:
            asking.cancel()

    async def _ask_peers(self, began: float) -> None:
        asked: set[str] = set()
        while True:
            waiting = False
            for name, address in self._membership.neighbours().items():
                link = self._links.link(name, address)
                if link is not None and link.instance not in asked:
                    asked.add(link.instance)
                    link.send(messages.Refresh(self._number))
                if self._links.failed_since(name, began):
                    continue
                if link is None or link.instance not in self._answers:
                    waiting = True
            if not waiting and (self._answers or self._membership.listed):
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _take_highest(self) -> None:
        highest = configuration.NO_VERSION
        holder = ""
        for name, answer in self._answers.items():
            place = configuration.TextVersion(answer.revision, answer.digest)
            if place > highest:
                highest = place
                holder = name
        while self._configured.wants(highest):
            link = self._membership.link(holder)
            if link is not None:
                self._configured.ask(link)
            await asyncio.sleep(configuration.ASK_SECONDS / 4)

    def _refresh(self, link: peers.Link, question: messages.Refresh) -> None:
        link.send(
            messages.Refreshed(
                question.number,
                *self._configured.position,
                self._membership.told(),
            )
        )

    def _refreshed(self, link: peers.Link, answer: messages.Refreshed) -> None:
        if answer.number != self._number:
            return
        self._answers[link.instance] = answer
        for member in answer.members:
            self._membership.learn(member)
