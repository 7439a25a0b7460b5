"""The proxy before an engine, which records the requests that pass it."""

import re

from ..network import proxies
from . import records

ATTEMPT = re.compile(rb"\r\ncassiaquay-attempt-id: *([^\r\n]+)\r\n", re.IGNORECASE)


class EngineProxy(proxies.Proxy):
    """Proxy before one engine.

    Parameters
    ----------
    name : str
        The engine.
    target : str
        host:port of the engine.
    recorded : Records
        Receives the times of requests.
    """

    def __init__(self, name: str, target: str, recorded: records.Records):
        super().__init__(target)
        self._name = name
        self._recorded = recorded

    def _note_arrival(self, data: bytes, direction: proxies.Direction) -> None:
        for attempt in self._attempts(data, direction):
            self._recorded.note_arrival(self._name, attempt, records.now())

    def _note_delivery(self, data: bytes, direction: proxies.Direction) -> None:
        for attempt in self._attempts(data, direction):
            self._recorded.note_delivery(self._name, attempt, records.now())

    def _attempts(self, data: bytes, direction: proxies.Direction) -> list[str]:
        """Return the attempt ids of the heads of requests in these bytes."""
        if direction is not self.inward:
            return []
        return [text.decode() for text in ATTEMPT.findall(data)]
