"""Instances without callers and back ends, many in one process.

They are the daemon's own parts that carry membership and configuration, on real
connections, against a platform of the same process.
"""

import asyncio
import collections.abc

from cassiaquay_daemon import clock, exceptions, pause, platform
from cassiaquay_daemon.fleet import configuration, members, renewal
from cassiaquay_daemon.links import peers
from cassiaquay_daemon.owners import tokens
from cassiaquay_schema import settings as settings_schema

KEY = "key-of-the-light-instances"
POLL_SECONDS = 0.01


class Published:
    """Stands for the configuration service."""

    def __init__(self) -> None:
        self.evacuated = platform.NOTHING_EVACUATED
        self.calls = 0
        self.down = False
        self.revision = 0
        self.text = ""
        self._changed = asyncio.Event()

    def publish(self, revision: int, text: str) -> None:
        """Show a text, also an older one, as a stale service does."""
        self.revision = revision
        self.text = text
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def watch(self, after: int, wait: float) -> platform.Published | None:
        """Return what is newer than ``after``, or None after ``wait`` seconds."""
        self.calls += 1
        if self.down:
            raise exceptions.PlatformError("down")
        if self.revision <= after and wait:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                return None
        if self.revision <= after:
            return None
        return platform.Published(self.revision, self.text)


class Listing:
    """Stands for the instance list."""

    def __init__(self) -> None:
        self.calls = 0
        self.down = False
        self.lines: dict[str, platform.ListedInstance] = {}

    async def read(self) -> list[platform.ListedInstance]:
        """Return all lines."""
        self.calls += 1
        if self.down:
            raise exceptions.PlatformError("down")
        return list(self.lines.values())


class Links(peers.Peers):
    """Connections that can be cut, as a partition cuts them."""

    def __init__(self, settings: settings_schema.Settings, incarnation: str):
        super().__init__(settings, incarnation)
        self.cut: set[str] = set()

    def link(self, instance: str, address: str) -> peers.Link | None:
        """Return a link, none to the other side of a partition."""
        if instance in self.cut:
            return None
        return super().link(instance, address)

    def separate(self, instance: str) -> None:
        """Close the links to an instance and allow none."""
        self.cut.add(instance)
        for link in [*self._accepted, *self._dialled.values()]:
            if link.instance == instance:
                link.close()

    @property
    def sent_bytes(self) -> int:
        """Bytes of all frames sent so far."""
        links = {*self._accepted, *self._dialled.values()}
        return self.closed_sent_bytes + sum(link.sent_bytes for link in links)

    async def _authenticate(self, link: peers.Link, dialled: bool) -> None:
        await super()._authenticate(link, dialled)
        if link.instance in self.cut:
            raise exceptions.PeerError("cut off")


class Light:
    """One instance.

    Seconds added to ``slept`` are a pause in which nobody ran; ``in_force`` holds the
    revisions that it has put in force, in order.

    Parameters
    ----------
    settings : Settings
        As of a daemon.
    published : Published
        The configuration service.
    listing : Listing
        The instance list.
    """

    def __init__(
        self,
        settings: settings_schema.Settings,
        published: Published,
        listing: Listing,
    ):
        self.name = settings.instance
        self.load = 0.0
        self.settings = settings
        self.incarnation = tokens.new_incarnation()
        self.slept = 0.0
        self.in_force: list[int] = []
        self.pauses = pause.Pauses(pause.shortest_lease(settings), self._now)
        self.peers = Links(settings, self.incarnation)
        self.configuration = configuration.Configuration(settings, self.peers)
        self.membership = members.Membership(
            settings, self.incarnation, self.peers, self._mint, self._measure
        )
        self.renewal = renewal.Renewal(
            settings,
            self.pauses,
            self.peers,
            self.membership,
            self.configuration,
            published,
            listing,
        )
        self.membership.on_heartbeat(self.configuration.handle_heartbeat)
        self.membership.digest = lambda: self.configuration.digest
        self.configuration.on_accept(self.membership.update)
        self.configuration.on_accept(self._note)
        self.pauses.on_resume(self.membership.restart_silence_timers)
        self._published = published
        self._listing = listing
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def view(self) -> set[str]:
        """Names of those that it takes for serving."""
        return {member.instance for member in self.membership.serving()}

    async def start(self) -> None:
        """Listen, and begin as a daemon does."""
        await self.peers.start()
        self.membership.http_address = f"{self.name}:80"
        self.begin()

    def begin(self) -> None:
        """Begin as a daemon does that listens already."""
        self.renewal.start()
        for work in (
            self.pauses.check_periodically(),
            self.renewal.run(),
            self.membership.send_heartbeats(),
            self.membership.read_list(self._listing),
            self.configuration.watch(self._published, self.membership),
        ):
            self._tasks.append(asyncio.create_task(work))

    def enlist(self, leaving: bool = False) -> None:
        """Put itself on the instance list."""
        self._listing.lines[self.name] = platform.ListedInstance(
            self.name,
            self.settings.domain,
            "entry",
            self.membership.http_address,
            self.peers.address,
            leaving,
        )

    def pause(self) -> None:
        """Do nothing more by itself, with all connections open."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """End without a farewell, as a killed process does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.peers.stop()

    def _now(self) -> float:
        return clock.now() + self.slept

    def _note(self) -> None:
        self.in_force.append(self.configuration.revision)

    def _mint(self) -> str:
        uptime = self.membership.uptime(self.name)
        expiry = uptime + self.settings.owner.token_seconds
        return tokens.mint(KEY, self.name, self.incarnation, expiry)

    def _measure(self) -> tuple[float, int]:
        return self.load, self.configuration.revision


def settings_of(
    name: str,
    domain: str = "east",
    seeds: list[str] | None = None,
    keys: list[str] | None = None,
    **membership: float,
) -> settings_schema.Settings:
    """Return the settings of a light instance."""
    return settings_schema.Settings(
        instance=name,
        domain=domain,
        keys=keys or [KEY],
        seeds=seeds or [],
        platform=settings_schema.Platform(
            configuration="", instances="", watch_seconds=0.5, instances_period=0.1
        ),
        membership=settings_schema.Membership(**membership),  # type: ignore[arg-type]
    )


def separate(one: Light, other: Light) -> None:
    """Cut two instances off from each other."""
    one.peers.separate(other.name)
    other.peers.separate(one.name)


def join(one: Light, other: Light) -> None:
    """Let two instances reach each other again."""
    one.peers.cut.discard(other.name)
    other.peers.cut.discard(one.name)


async def until(condition: collections.abc.Callable[[], bool], seconds: float) -> None:
    """Wait until a condition holds; raise TimeoutError after ``seconds``."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)
