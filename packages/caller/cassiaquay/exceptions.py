"""Errors of the caller package: one root, each with a stable ``code``.

The class says whether the request ran:

>>> try:
...     await session.call("bookings-app", "/book", payload, idempotent=False)
... except exceptions.NotRun:
...     ...  # it did not run and never will under this id
... except exceptions.OutcomeUnknown as error:
...     await session.outcome(error.request_id)
"""

import typing


class CassiaquayError(Exception):
    """Root of all errors of this package.

    Parameters
    ----------
    message : str
        What happened, for people.
    code : str, optional
        Stable word for programs; the one of the class when left out.
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
        Seconds before which a new request is not worth sending.
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
    """The request is wrong as it stands; sending it again gives the same."""

    code = "bad_request"


class NoAddress(NotRun):
    """No address of any instance is known, so nothing was sent."""

    code = "no_address"


class OutcomeUnknown(CassiaquayError):
    """The request may have run; ``Session.outcome`` may tell later."""

    code = "outcome_unknown"


class Timeout(OutcomeUnknown):
    """The deadline passed and the cancellation did not say ``not_run``."""

    code = "timeout"


class Failed(CassiaquayError):
    """The request ran and the backend server refused or broke it."""

    code = "failed"
    ran = True


class AnswerNotWhole(CassiaquayError):
    """The answer differs from its count or digest, also when read again.

    Also raised when a stream would go on with text of another request.
    """

    code = "answer_not_whole"


class AttemptFailed(CassiaquayError):
    """One attempt broke off without saying an outcome; never leaves a session."""

    code = "attempt_failed"


class NotConnected(AttemptFailed):
    """No connection came about, so no byte of the attempt left the caller."""

    code = "not_connected"
