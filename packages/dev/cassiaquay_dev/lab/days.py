"""Days: simulated scenarios of a fleet, its engines and its load, read from TOML."""

import pathlib

import msgspec

from cassiaquay_schema import exceptions

FOLDER = pathlib.Path(__file__).parent / "days"


class Slowdown(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Short slowdowns of engines, each independent of the others.

    Attributes
    ----------
    share : float
        Share of the time for which an engine is slow.
    factor : float
        Factor on step time meanwhile.
    period_ms : float
        Length of a slowdown; whether an engine is slow is drawn anew after it.
    """

    share: float
    factor: float
    period_ms: float


class Engines(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The engines of the single pool.

    Attributes
    ----------
    count, slots : int
        Number of engines, and concurrent requests in each.
    step_ms, slot_ms : float
        Base time of a step, and the time that each running request adds.
    prompt_tokens_per_ms : float
        Prefill rate.
    chunk_tokens, event_tokens : int
        Maximum prompt tokens prefilled per step; output tokens per event.
    time_factors : list of float
        Factors on step time, assigned to the engines in rotation.
    slowdown : Slowdown, optional
        Short slowdowns; none by default.
    """

    count: int
    slots: int
    step_ms: float
    slot_ms: float
    prompt_tokens_per_ms: float
    chunk_tokens: int
    event_tokens: int
    time_factors: list[float]
    slowdown: Slowdown | None = None


class Kind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of request.

    Attributes
    ----------
    rank : int
        Priority; 0 is the most important.
    per_second : float
        Arrival rate at load 1.
    prompt_mean, prompt_spread, prompt_most : float
        Prompt tokens: mean, standard deviation divided by the mean, and maximum.
    events_mean, events_spread, events_most : float
        Events per answer: mean, relative standard deviation and maximum.
    objective_ms, deadline_ms, pause_ms : int
        Time limit for the first event; time after which the caller gives up; time
        limit between events.
    worth, late_worth : float
        Worth of a request of mean size when answered in time, and when late.
    attempts : int
        Maximum number of servers that may run one request.
    """

    rank: int
    per_second: float
    prompt_mean: float
    prompt_spread: float
    prompt_most: float
    events_mean: float
    events_spread: float
    events_most: float
    objective_ms: int
    deadline_ms: int
    pause_ms: int
    worth: float
    late_worth: float
    attempts: int = 1


class Burst(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A temporary increase of the arrival rate.

    Attributes
    ----------
    at, seconds : float
        Start, counted from the start of the load, and duration.
    factor : float
        Factor on the usual arrival rate.
    kind : str
        Kind of request that is affected; empty for all.
    team : int
        Number of the team whose requests increase; negative for all teams.
    """

    at: float
    seconds: float
    factor: float
    kind: str = ""
    team: int = -1


class ServerLimit(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A limit that some engines name in their answers for a while.

    Attributes
    ----------
    at, seconds : float
        Start, counted from the start of the load, and duration.
    count : int
        Number of engines that name it, the first ones in order of their names.
    per_second : float
        Requests a second that each of them takes from all instances.
    """

    at: float
    seconds: float
    count: int
    per_second: float


class Departure(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Engines that say in their answers that they leave, and stay listed.

    Attributes
    ----------
    at : float
        Start, counted from the start of the load.
    count : int
        Number of engines, the last ones in order of their names.
    """

    at: float
    count: int


class Day(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A simulated scenario.

    Attributes
    ----------
    instances, zones : int
        Number of daemons, and of failure domains that they are spread over.
    seconds : float
        Duration of the load.
    load : float
        Factor on all arrival rates.
    teams : int
        Number of teams; earlier teams send more requests.
    crossing_ms, caller_ms : float
        One-way delay between zones, and between callers and daemons.
    swing, swing_seconds : float
        Amplitude of the sinusoidal load, as a share of its mean, and its period.
    hint_spread : float
        Standard deviation of the logarithm of the error in callers' estimates of an
        answer's length.
    engines : Engines
        The engines of the pool.
    kinds : dict of str to Kind
        Kinds of request by name.
    bursts : list of Burst
        Bursts in any order.
    limits : list of ServerLimit
        Limits of engines, in any order.
    departures : list of Departure
        Departures of engines, in any order.
    """

    instances: int
    seconds: float
    engines: Engines
    kinds: dict[str, Kind]
    zones: int = 5
    load: float = 1.0
    teams: int = 19
    crossing_ms: float = 1.4
    caller_ms: float = 3.0
    swing: float = 0.15
    swing_seconds: float = 11.0
    hint_spread: float = 0.5
    bursts: list[Burst] = []
    limits: list[ServerLimit] = []
    departures: list[Departure] = []


def read(name: str) -> Day:
    """Return a day by its name in ``days/``, or by the path of its file.

    Raises
    ------
    SchemaError
        When the file does not exist or does not match the schema.
    """
    path = FOLDER / f"{name}.toml"
    if not path.exists():
        path = pathlib.Path(name)
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Day)
    except (OSError, msgspec.MsgspecError) as error:
        raise exceptions.SchemaError(f"{path}: {error}") from error
