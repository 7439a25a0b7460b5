"""Light instances: many per process, without callers or backend servers.

They run the daemon's own membership and configuration code over real connections,
against a simulated platform in the same process.
"""

import asyncio
import collections.abc

from cassiaquay_daemon import clock, exceptions, pause, platform, positions
from cassiaquay_daemon.fleet import configuration, members, renewal
from cassiaquay_daemon.links import peers
from cassiaquay_daemon.owners import tokens
from cassiaquay_schema import settings as settings_schema

KEY = "key-of-the-light-instances"
POLL_SECONDS = 0.01


class Published:
    """Simulates the configuration service."""

    def __init__(self) -> None:
        self.evacuated = platform.NOTHING_EVACUATED
        self.calls = 0
        self.down = False
        self.revision = 0
        self.epoch = 0
        self.number: int | None = 0
        self.text = ""
        self._changed = asyncio.Event()

    def publish(
        self, revision: int, text: str, epoch: int = 0, number: int | None = 0
    ) -> None:
        """Publish a text; an older revision simulates a stale service."""
        self.revision = revision
        self.epoch = epoch
        self.number = number
        self.text = text
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def watch(
        self, after: positions.Position, wait: float
    ) -> platform.Published | None:
        """Return a text written after a position, or None after ``wait`` seconds."""
        self.calls += 1
        if self.down:
            raise exceptions.PlatformError("down")
        if self._position <= after and wait:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                return None
        if self._position <= after:
            return None
        return platform.Published(self.revision, self.text, self.epoch, self.number)

    @property
    def _position(self) -> positions.Position:
        return positions.Position(self.epoch, self.revision)


class Listing:
    """Simulates the instance list of the platform."""

    def __init__(self) -> None:
        self.calls = 0
        self.down = False
        self.lines: dict[str, platform.ListedInstance] = {}

    async def read(self) -> list[platform.ListedInstance]:
        """Return all listed instances."""
        self.calls += 1
        if self.down:
            raise exceptions.PlatformError("down")
        return list(self.lines.values())


class Links(peers.Peers):
    """Peer connections that can be blocked to simulate a network partition."""

    def __init__(self, settings: settings_schema.Settings, incarnation: str):
        super().__init__(settings, incarnation)
        self.cut: set[str] = set()

    def link(self, instance: str, address: str) -> peers.Link | None:
        """Return a link, or None if the instance is across the partition."""
        if instance in self.cut:
            return None
        return super().link(instance, address)

    def separate(self, instance: str) -> None:
        """Close the links to an instance and reject new ones."""
        self.cut.add(instance)
        for link in [*self._accepted, *self._dialled.values()]:
            if link.instance == instance:
                link.close()

    @property
    def sent_bytes(self) -> int:
        """Total bytes of all frames sent, closed links included."""
        links = {*self._accepted, *self._dialled.values()}
        return self.closed_sent_bytes + sum(link.sent_bytes for link in links)

    async def _authenticate(self, link: peers.Link, dialled: bool) -> None:
        await super()._authenticate(link, dialled)
        if link.instance in self.cut:
            raise exceptions.PeerError("cut off")


class Light:
    """One light instance.

    Seconds added to ``slept`` advance its clock, which simulates a paused process.
    ``in_force`` lists the revisions that the instance has applied, in order.

    Parameters
    ----------
    settings : Settings
        Settings as for a daemon.
    published : Published
        The simulated configuration service.
    listing : Listing
        The simulated instance list.
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
        self.membership.text_version = lambda: self.configuration.version_in_force
        self.configuration.on_accept(self.membership.update)
        self.configuration.on_accept(self._record_revision)
        self.pauses.on_resume(self.membership.restart_silence_timers)
        self._published = published
        self._listing = listing
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def view(self) -> set[str]:
        """Names of the instances that its membership considers serving."""
        return {member.instance for member in self.membership.serving()}

    async def start(self) -> None:
        """Open the peer listener and start the background tasks."""
        await self.peers.start()
        self.membership.http_address = f"{self.name}:80"
        self.begin()

    def begin(self) -> None:
        """Start the background tasks; the peer listener must be open."""
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
        """Add the instance to the instance list."""
        self._listing.lines[self.name] = platform.ListedInstance(
            self.name,
            self.settings.domain,
            "entry",
            self.membership.http_address,
            self.peers.address,
            leaving,
        )

    def pause(self) -> None:
        """Cancel the background tasks but keep all connections open."""
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Stop without announcing the departure, as a killed process does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.peers.stop()

    def _now(self) -> float:
        return clock.now() + self.slept

    def _record_revision(self) -> None:
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
    """Partition two instances from each other."""
    one.peers.separate(other.name)
    other.peers.separate(one.name)


def join(one: Light, other: Light) -> None:
    """Remove the partition between two instances."""
    one.peers.cut.discard(other.name)
    other.peers.cut.discard(one.name)


async def until(condition: collections.abc.Callable[[], bool], seconds: float) -> None:
    """Wait until a condition is true; raise TimeoutError after ``seconds``."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)
