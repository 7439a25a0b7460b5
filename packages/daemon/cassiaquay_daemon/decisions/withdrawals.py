"""Backend servers that the platform has shown to leave, remembered across its epochs.

Load pattern: the platform returns from a copy that is some seconds old. The copy lists
servers as ready that have left since; requests to them fail, and their addresses may
belong to other servers. Their entries are written or removed again within seconds.
"""

import typing

from cassiaquay_schema import messages

from .. import clock

# Longer than a copy is old and than its entries take to be written again.
RETENTION_SECONDS = 60.0
# Entries of servers that have gone are removed again, or run out, this long after the
# platform's return. What is listed then is alive.
REMOVAL_SECONDS = 5.0
NEVER = float("-inf")


class Withdrawal(typing.NamedTuple):
    """A server that has left.

    Attributes
    ----------
    epoch : int
        Epoch of the platform that showed it.
    sequence : int
        Sequence of the server's last entry; 0 if not given.
    is_announced : bool
        Whether the server itself reported that it leaves; otherwise its entry is gone,
        which also happens to a server that the platform did not hear for a while.
    kept_until : float
        When it is forgotten, in seconds on the local clock.
    """

    epoch: int
    sequence: int
    is_announced: bool
    kept_until: float

    @property
    def order(self) -> tuple[int, bool, int]:
        """Of two withdrawals of one server, the greater one is kept."""
        return self.epoch, self.is_announced, self.sequence


class Withdrawals:
    """The withdrawals known to this instance."""

    def __init__(self) -> None:
        self._withdrawals: dict[str, Withdrawal] = {}
        # When the platform's present epoch was first seen.
        self._epoch_began_at = NEVER

    def begin_epoch(self) -> None:
        """Note the platform's return from a copy."""
        self._epoch_began_at = clock.now()

    def note_leaving(self, entry: messages.ServerEntry, epoch: int) -> None:
        """Note a server whose entry says that it leaves."""
        self._note(entry, epoch, is_announced=True)

    def note_gone(self, entry: messages.ServerEntry, epoch: int) -> None:
        """Note a server whose entry is gone."""
        known = self._withdrawals.get(entry.name)
        is_announced = known is not None and known.is_announced
        self._note(entry, epoch, is_announced)

    def applies_to(self, entry: messages.ServerEntry, epoch: int) -> bool:
        """Return whether a server has left although an entry of an epoch is ready."""
        known = self._withdrawals.get(entry.name)
        if known is None or clock.now() >= known.kept_until:
            return False
        if known.epoch >= epoch:
            # The platform shows it again in the same epoch: it had only fallen silent.
            return False
        if known.is_announced:
            # Such a server never returns under its id.
            return True
        # The entry of a live server may have run out; it has registered again since.
        is_removable = clock.now() < self._epoch_began_at + REMOVAL_SECONDS
        return is_removable and entry.sequence <= known.sequence

    def learn(self, message: messages.ServerWithdrawal) -> None:
        """Note a withdrawal that another instance has sent."""
        kept_until = clock.now() + RETENTION_SECONDS - message.age_ms / 1000.0
        learned = Withdrawal(
            message.epoch, message.sequence, message.is_announced, kept_until
        )
        known = self._withdrawals.get(message.server)
        if known is not None and known.order >= learned.order:
            return
        self._withdrawals[message.server] = learned

    def to_send(self, epoch: int) -> list[messages.ServerWithdrawal]:
        """Return the withdrawals that a list of an epoch may lack."""
        now = clock.now()
        sent = []
        for server, known in self._withdrawals.items():
            left_s = known.kept_until - now
            if left_s <= 0.0 or known.epoch >= epoch:
                continue
            age_ms = int((RETENTION_SECONDS - left_s) * 1000)
            sent.append(
                messages.ServerWithdrawal(
                    server, known.epoch, known.sequence, known.is_announced, age_ms
                )
            )
        return sent

    def expire(self) -> None:
        """Forget old withdrawals."""
        now = clock.now()
        for server, known in list(self._withdrawals.items()):
            if now >= known.kept_until:
                del self._withdrawals[server]

    def _note(
        self, entry: messages.ServerEntry, epoch: int, is_announced: bool
    ) -> None:
        kept_until = clock.now() + RETENTION_SECONDS
        self._withdrawals[entry.name] = Withdrawal(
            epoch, entry.sequence, is_announced, kept_until
        )
