"""Settings of the model engine stand-in."""

import typing


class EngineSettings(typing.NamedTuple):
    """Settings of one engine; each is a command-line flag of the same name.

    Times are in milliseconds unless the name says otherwise. ``weights`` is the
    address (host:port) of a weight store, empty for none. ``adapters`` is a
    comma-separated list of names.
    """

    port: int = 0
    model: str = "tutor-7b"
    version: str = "1"
    adapters: str = ""
    role: str = "general"
    max_batch: int = 32
    kv_tokens: int = 200_000
    cache_tokens: int = 100_000
    step_ms: float = 5.0
    decode_ms_per_sequence: float = 0.2
    prefill_tokens_per_second: float = 20_000.0
    prefill_chunk_tokens: int = 512
    hold_seconds: float = 60.0
    event_lag_ms: float = 200.0
    event_gap_share: float = 0.0
    report_lag_ms: float = 200.0
    refuse_old_fence: bool = True
    load_ms: float = 1000.0
    adapter_load_ms: float = 50.0
    weights: str = ""
    seed: int = 1
