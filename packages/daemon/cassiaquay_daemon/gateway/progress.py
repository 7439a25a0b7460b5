"""What has become of one caller's request so far."""

from . import calls


class RequestState:
    """One request between its acceptance and its end.

    Parameters
    ----------
    call : Call
        The request.

    Attributes
    ----------
    runs : int
        Servers that may have run it.
    tries : int
        Times that capacity was asked for.
    last_event : int
        Number of the last event that the caller was sent; -1 for none.
    started : bool
        Whether the caller has the beginning of an answer.
    server : str
        Server that was chosen last.
    server_start : str
        The same, with the start of its process.
    unreachable : list of str
        Servers that could not be reached.
    tried : list of str
        Servers that got it and did not answer it well.
    """

    def __init__(self, call: calls.Call):
        self.call = call
        self.runs = 0
        self.tries = 0
        self.last_event = call.parsed.last_event
        self.started = False
        self.server = ""
        self.server_start = ""
        self.unreachable: list[str] = []
        self.tried: list[str] = []

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run it."""
        return self.runs > 0

    @property
    def is_repeatable_now(self) -> bool:
        """Whether one more server may run it."""
        route = self.call.route
        return route.is_repeatable and self.runs < route.attempts
