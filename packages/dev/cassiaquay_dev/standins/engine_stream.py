"""One stream of the model engine stand-in and its entry in the dispatch log."""

import asyncio
import typing

from . import blocks

WAITING = "waiting"
PREFILL = "prefill"
DECODING = "decoding"
FINISHED = "finished"
CANCELLED = "cancelled"
DROPPED = "dropped"
REFUSED = "refused"

ENDED = frozenset({FINISHED, CANCELLED, DROPPED})


class Dispatch(typing.TypedDict):
    """One POST of a stream; ``at`` and ``finished_at`` are seconds since 1970."""

    id: str
    at: float
    prompt_tokens: int
    cached_tokens: int
    prefilled_tokens: int
    generated_tokens: int
    state: str
    finished_at: float | None
    repeat: bool


class StreamRequest(typing.NamedTuple):
    """Parameters of a POST that starts a stream."""

    id: str
    prompt: str
    max_tokens: int


class Stream:
    """State of one stream; its token counts are kept in its dispatch log entry."""

    def __init__(self, request: StreamRequest, dispatch: Dispatch) -> None:
        self.id = request.id
        self.max_tokens = request.max_tokens
        self.hashes = blocks.block_hashes(request.prompt)
        self.dispatch = dispatch
        self._changed = asyncio.Event()

    @property
    def generated(self) -> int:
        """Number of generated tokens, each of which is one event."""
        return self.dispatch["generated_tokens"]

    @property
    def state(self) -> str:
        """State of the stream, one of the constants of this module."""
        return self.dispatch["state"]

    @property
    def reserved_tokens(self) -> int:
        """KV memory, in tokens, for the prompt and the longest answer."""
        return self.dispatch["prompt_tokens"] + self.max_tokens

    @property
    def processed_tokens(self) -> int:
        """Prompt tokens in KV memory, from the cache or by prefill."""
        return self.dispatch["cached_tokens"] + self.dispatch["prefilled_tokens"]

    @property
    def prefill_left(self) -> int:
        """Prompt tokens that still need prefill."""
        return self.dispatch["prompt_tokens"] - self.processed_tokens

    def notify(self) -> None:
        """Wake the tasks that wait for a change of the stream."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_change(self) -> None:
        """Wait for the next `notify`."""
        await self._changed.wait()
