"""Epoch of the platform's answers: how often it has returned from a copy."""

import collections.abc

from .. import exceptions, logs

HEADER = "Store-Era"
# Longer numbers are invalid.
MAX_DIGITS = 9


class Epochs:
    """Reads the epoch of each answer to one client."""

    def __init__(self) -> None:
        self._highest = 0
        self._is_known = False
        self._is_unreadable = False

    def read(self, headers: collections.abc.Mapping[str, str]) -> int:
        """Return the epoch of an answer; the highest known one if it names none.

        Raises
        ------
        PlatformError
            When the answer is of an epoch that has ended.
        """
        text = headers.get(HEADER, "")
        if not text:
            return self._highest
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
            if not self._is_unreadable:
                logs.trouble("platform_epoch_unreadable", header=text[:MAX_DIGITS])
            self._is_unreadable = True
            return self._highest
        epoch = int(text)
        if epoch < self._highest:
            raise exceptions.PlatformError(
                f"answer of epoch {epoch} after one of epoch {self._highest}"
            )
        if epoch > self._highest and self._is_known:
            logs.event("platform_restored", epoch=epoch, before=self._highest)
        self._highest = epoch
        self._is_known = True
        return epoch
