"""The load that an instance reports to the others."""

from .. import clock

# A load is sent when it has moved by a step plus a share of the old one, at most once
# per interval: hundreds of instances balance callers so within the gossip budget.
LOAD_STEP = 4.0
LOAD_STEP_SHARE = 0.5
LOAD_INTERVAL_SECONDS = 2.0


class ReportedLoad:
    """A load, rounded coarsely in size and time.

    Attributes
    ----------
    value : float
        The load to report.
    """

    def __init__(self) -> None:
        self.value = 0.0
        self._changed_at = clock.now()

    def note(self, load: float) -> None:
        """Note the current load; report it if it differs enough."""
        now = clock.now()
        difference = abs(load - self.value)
        if difference <= LOAD_STEP + LOAD_STEP_SHARE * self.value:
            return
        if now - self._changed_at < LOAD_INTERVAL_SECONDS:
            return
        self.value = load
        self._changed_at = now
