"""Stand-in of the requesters: single attempts over connections that they keep."""

import asyncio
import contextlib
import itertools
import uuid

from . import http, record

_NUMBERS = itertools.count(1)
SLACK_SECONDS = 3.0


class Caller:
    """Sends one request after the other on a connection that it keeps open.

    Parameters
    ----------
    host, port : str and int
        Address of an instance.
    key : str
        API key.
    recorded : Record
        Receives what was sent and answered.

    Attributes
    ----------
    attempt : str
        Id of the last attempt.
    """

    def __init__(self, host: str, port: int, key: str, recorded: record.Record):
        self._host = host
        self._port = port
        self._key = key
        self._recorded = recorded
        self.attempt = ""
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the next request is sent on a connection that was kept."""
        return self._streams is not None

    async def ask(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        deadline_ms: int = 1500,
        headers: http.Headers | None = None,
    ) -> http.Message | None:
        """Send one attempt; return its answer, None if it got none."""
        attempt = self.attempt = f"{next(_NUMBERS):06x}{uuid.uuid4().hex[:10]}"
        pairs = {
            "Host": "caller.example",
            "Cassiaquay-Attempt-Id": attempt,
            "Cassiaquay-Deadline-Ms": str(deadline_ms),
            "Api-Key": self._key,
        }
        data = http.request(method, target, body, pairs | (headers or {}))
        self._recorded.note("sent", id=attempt, method=method, target=target)
        answer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + SLACK_SECONDS):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self._host, self._port
                    )
                reader, writer = self._streams
                writer.write(data)
                answer = await http.read(reader)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        if answer is None:
            self._recorded.note_answer(attempt, 0)
            return None
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        self._recorded.note_answer(
            attempt, answer.status, of=answer.attempt or None, bytes=len(answer.body)
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            with contextlib.suppress(OSError):
                self._streams[1].close()
        self._streams = None
