"""Errors of the caller package, each with a stable ``code``.

The class of an error tells whether the request ran:

>>> try:
...     await session.call("bookings-app", "/book", payload, idempotent=False)
... except exceptions.NotRun:
...     ...  # it did not run and never will under this id
... except exceptions.OutcomeUnknown as error:
...     await session.outcome(error.request_id)
"""

import typing


class CassiaquayError(Exception):
    """Base class of all errors of this package.

    Parameters
    ----------
    message : str
        Human-readable description.
    code : str, optional
        Stable code for programs; that of the class by default.
    request_id : str
        Id of the request that the error is about, when there is one.
    """

    code = "error"
    ran: typing.ClassVar[bool | None] = None

    def __init__(self, message: str, *, code: str = "", request_id: str = "") -> None:
        super().__init__(message)
        self.code = code or type(self).code
        self.request_id = request_id


class NotRun(CassiaquayError):
    """The request did not run and never will under its id.

    Parameters
    ----------
    retry_after : float
        Seconds to wait before sending a new request.
    """

    code = "not_run"
    ran = False

    def __init__(
        self,
        message: str,
        *,
        code: str = "",
        request_id: str = "",
        retry_after: float = 0.0,
    ) -> None:
        super().__init__(message, code=code, request_id=request_id)
        self.retry_after = retry_after


class BadRequest(NotRun):
    """The request is invalid; an unchanged retry fails with this error again."""

    code = "bad_request"


class NoAddress(NotRun):
    """No address of any instance is known, so nothing was sent."""

    code = "no_address"


class OutcomeUnknown(CassiaquayError):
    """The request may have run; ``Session.outcome`` may return its outcome later."""

    code = "outcome_unknown"


class Timeout(OutcomeUnknown):
    """The deadline passed and the cancellation did not return ``not_run``."""

    code = "timeout"


class Failed(CassiaquayError):
    """The request ran, and the backend server refused it or failed during it."""

    code = "failed"
    ran = True


class AnswerNotWhole(CassiaquayError):
    """The answer does not match its count or digest, also when read again.

    Also raised when a stream that has yielded events can only continue with the
    answer of another request id.
    """

    code = "answer_not_whole"


class AttemptFailed(CassiaquayError):
    """One attempt ended without an outcome; handled within a session."""

    code = "attempt_failed"


class NotConnected(AttemptFailed):
    """No connection was established, so no byte of the attempt was sent."""

    code = "not_connected"
