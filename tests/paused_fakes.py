"""Simulated engines of one shard that fall silent together, in virtual time."""

import typing

import objectives_fakes
import policy_fakes as fakes

from cassiaquay_daemon.decisions import rate_budgets, slow_start
from cassiaquay_schema import fleet, messages

SERVERS = ("e1", "e2", "e3")
SLOTS = 8
STEP_SECONDS = 0.01
RENEW_SECONDS = 0.3
FIRST_SECONDS = 0.04
EVENT_SECONDS = 0.005
EVENTS = 20
PROMPT_TOKENS = 600
COLD_SECONDS = 5.0
COLD_REQUESTS_PER_SECOND = 12.0


class _Work(typing.NamedTuple):
    """A request at an engine, and the working time that it has got there."""

    request_id: str
    server: str
    seconds: float


class Counts(typing.NamedTuple):
    """Demands that were shed and requests that ended in one span of time."""

    shed: int
    ended: int


class Engines:
    """A shard under steady load whose engines stop and go on.

    Parameters
    ----------
    time : Time
        The clock.
    rate : float
        Demands per second.
    is_plain : bool
        Whether the answers are plain: owners then report no first events.
    is_cold_limited : bool
        Whether the pool limits the rate of requests to cold servers.
    """

    def __init__(
        self,
        time: fakes.Time,
        rate: float,
        is_plain: bool = False,
        is_cold_limited: bool = True,
    ):
        self.time = time
        self.rate = rate
        self.is_plain = is_plain
        self.bench = objectives_fakes.Bench(time, dict.fromkeys(SERVERS, SLOTS))
        for name in SERVERS:
            self.bench.set_speed(name, 100_000.0, EVENT_SECONDS)
        if is_cold_limited:
            shard = self.bench.shard
            shard.cold = slow_start.SlowStart(fakes.settings())
            shard.cold.update(_fleet())
            shard.rate_budgets = rate_budgets.RateBudgets([shard.cold])
        self.stopped_until: dict[str, float] = dict.fromkeys(SERVERS, 0.0)
        self._shed_count = 0
        self._ended_count = 0
        self._work: dict[str, _Work] = {}
        self._seen = 0
        self._due = 0.0
        self._renewed_at = time.now

    def stop(self, servers: typing.Iterable[str], seconds: float) -> None:
        """Stop engines; they go on with their requests afterwards."""
        for name in servers:
            self.stopped_until[name] = self.time.now + seconds

    def restart(self, server: str) -> None:
        """Let an engine lose its requests and go on at once, unnoticed by the list."""
        self.stopped_until[server] = 0.0
        for work in list(self._work.values()):
            if work.server == server:
                del self._work[work.request_id]
                self._end(work, "cut")

    def run(self, seconds: float) -> Counts:
        """Let demands arrive at a steady rate; return what became of them."""
        shed_before, ended_before = self._shed_count, self._ended_count
        ends_at = self.time.now + seconds
        while self.time.now < ends_at:
            self.time.now += STEP_SECONDS
            self._due += self.rate * STEP_SECONDS
            while self._due >= 1.0:
                self._due -= 1.0
                self._demand()
            self._advance()
            if self.time.now - self._renewed_at >= RENEW_SECONDS:
                self._renew()
            self.bench.shard.expire()
            self.bench.serve()
            self._read_replies()
        return Counts(self._shed_count - shed_before, self._ended_count - ended_before)

    def _demand(self) -> None:
        if self.is_plain:
            self.bench.demand(events=EVENTS, prompt=0, pause_ms=0)
        else:
            self.bench.demand(events=EVENTS, prompt=PROMPT_TOKENS)

    def _advance(self) -> None:
        for work in list(self._work.values()):
            if self.time.now < self.stopped_until[work.server]:
                continue
            grown = work._replace(seconds=work.seconds + STEP_SECONDS)
            self._work[work.request_id] = grown
            if work.seconds < FIRST_SECONDS <= grown.seconds and not self.is_plain:
                self._step(work.request_id, True)
            if grown.seconds >= FIRST_SECONDS + EVENTS * EVENT_SECONDS:
                del self._work[work.request_id]
                self._ended_count += 1
                self._end(work, "completed")

    def _end(self, work: _Work, outcome: str) -> None:
        tokens = 0 if self.is_plain else PROMPT_TOKENS
        total_ms = (FIRST_SECONDS + EVENTS * EVENT_SECONDS) * 1000.0
        self.bench.end(
            work.request_id, outcome, prompt_tokens=tokens, total_ms=total_ms
        )

    def _renew(self) -> None:
        self._renewed_at = self.time.now
        outstanding = []
        for work in self._work.values():
            since_first = 0.0 if self.is_plain else work.seconds - FIRST_SECONDS
            outstanding.append(
                messages.Outstanding(
                    work.request_id,
                    "tutor-assist",
                    "questions",
                    0,
                    work.server,
                    PROMPT_TOKENS,
                    EVENTS,
                    max(int(since_first / EVENT_SECONDS), 0),
                )
            )
        self.bench.shard.renew(self.bench.owner.instance, outstanding)

    def _read_replies(self) -> None:
        replies = self.bench.owner.sent[self._seen :]
        self._seen = len(self.bench.owner.sent)
        for reply in replies:
            if isinstance(reply, messages.Shed):
                self._shed_count += 1
            if isinstance(reply, messages.Permit):
                self._work[reply.id] = _Work(reply.id, reply.server, 0.0)
                self._step(reply.id, False)

    def _step(self, request_id: str, started: bool) -> None:
        steps = [messages.Step(request_id, "", started, 0.0)]
        self.bench.shard.progress(messages.Progress(fakes.SHARD, steps))


def _fleet() -> fleet.Fleet:
    servers = []
    for name in SERVERS:
        servers.append(
            fleet.Server(
                name=name, address="h:1", slots=SLOTS, started_ms=1, domain="derby"
            )
        )
    pool = fleet.Pool(
        servers=servers,
        cold_seconds=COLD_SECONDS,
        cold_requests_per_second=COLD_REQUESTS_PER_SECOND,
    )
    return fleet.Fleet(
        tiers={"t": fleet.Tier(rank=0)},
        teams={"q": fleet.Team(credentials=["0"], tiers=["t"])},
        pools={"engines": pool},
        services={"s": fleet.Service(pool="engines")},
    )
