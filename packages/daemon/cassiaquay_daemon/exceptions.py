"""Exceptions of the daemon: one base class, a group per layer, a stable code each.

docs/ERRORS.md lists the codes. A layer raises its own exceptions and converts those of
the layer below. The first docstring line of a ``Refusal`` is its default message.
"""

import http


class DaemonError(Exception):
    """Base class of the daemon's exceptions."""

    code = "daemon"


class PeerError(DaemonError):
    """A connection between two instances has failed."""

    code = "peer"


class InvalidFrame(PeerError):
    """A peer sent bytes that do not decode to a known message."""

    code = "peer_frame"


class PeerAuthenticationFailed(PeerError):
    """A peer failed the handshake, for example because its shared key differs."""

    code = "peer_proof"


class PlatformError(DaemonError):
    """A call to the platform failed or returned an invalid response."""

    code = "platform"


class KeeperUnresponsive(DaemonError):
    """The keeper, which admits requests to a shard, has stopped responding."""

    code = "keeper_silent"


class BackendError(DaemonError):
    """A backend server did not return a complete response."""

    code = "backend"


class NotSent(BackendError):
    """No byte of the request was written, so it is safe to try another server."""

    code = "backend_not_sent"


class Unreachable(NotSent):
    """Connecting to the backend server failed."""

    code = "backend_unreachable"


class Declined(BackendError):
    """The backend server declined the request without running it."""

    code = "backend_declined"


class Rejected(BackendError):
    """The backend server validated or ran the request and returned an error."""

    code = "backend_rejected"


class StreamInterrupted(BackendError):
    """The response ended early, or never began, after the request was sent."""

    code = "backend_cut"


class ConnectionBroken(StreamInterrupted):
    """The server closed or reset the connection during a request."""

    code = "backend_broken"


class StreamNotFound(BackendError):
    """The backend server does not have the requested stream."""

    code = "backend_missing"


class StaleAfterPause(NotSent):
    """After a pause, the process must refresh its state before it dispatches."""

    code = "backend_overslept"


class SupersededOrder(BackendError):
    """The engine has already applied an order with a higher fencing number."""

    code = "order_outranked"


class Refusal(DaemonError):
    """Ends a request with an error response that states its outcome.

    Parameters
    ----------
    message : str
        Text for the caller; the first line of the docstring by default.
    retry_after_ms : int
        Milliseconds after which the caller should retry; 0 for no hint.
    address : str
        Address of an instance to try instead, or empty.
    code : str
        Stable code that replaces the one of the class.
    """

    code = "refused"
    outcome = "not_run"
    status = http.HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(
        self,
        message: str = "",
        retry_after_ms: int = 0,
        address: str = "",
        code: str = "",
    ):
        super().__init__(message or self.__doc__ or "")
        self.code = code or type(self).code
        self.message = message or (self.__doc__ or "").splitlines()[0]
        self.retry_after_ms = retry_after_ms
        self.address = address


class CallRejected(Refusal):
    """The call had no effect.

    It was rejected before the owner looked up its request id. Another call with that id
    may be running, so the response must not claim "not run".
    """

    code = "call_rejected"
    outcome = ""
    status = http.HTTPStatus.BAD_REQUEST


class BadRequest(Refusal):
    """The request is malformed."""

    code = "bad_request"
    status = http.HTTPStatus.BAD_REQUEST


class BadId(CallRejected):
    """The request id is malformed, or its token was not issued by this fleet."""

    code = "bad_id"
    status = http.HTTPStatus.BAD_REQUEST


class TooLarge(CallRejected):
    """The body exceeds the size limit."""

    code = "too_large"
    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class Unauthorized(CallRejected):
    """The credential is missing or unknown."""

    code = "unauthorized"
    status = http.HTTPStatus.UNAUTHORIZED


class Forbidden(CallRejected):
    """The team is not allowed to make this call."""

    code = "forbidden"
    status = http.HTTPStatus.FORBIDDEN


class UnknownId(CallRejected):
    """The instance that owns the request id has no record of it."""

    code = "unknown_id"
    status = http.HTTPStatus.NOT_FOUND


class NoRoute(CallRejected):
    """No route of this host matches the path."""

    code = "no_route"
    status = http.HTTPStatus.NOT_FOUND


class NoServers(Refusal):
    """The service has no known backend server."""

    code = "no_servers"


class Shed(Refusal):
    """Shed under overload in favour of more important requests."""

    code = "shed_overload"


class DeadlineInfeasible(Refusal):
    """The response could not be completed before the deadline."""

    code = "deadline_infeasible"


class Quarantined(Refusal):
    """The request has crashed several servers and is quarantined."""

    code = "crashes_servers"


class LimitReached(Refusal):
    """A limit of the team or service has been reached."""

    code = "limit_reached"
    status = http.HTTPStatus.TOO_MANY_REQUESTS


class TableFull(Refusal):
    """The instance's table of requests is full."""

    code = "table_full"


class TierForbidden(Refusal):
    """The team may not use this tier."""

    code = "tier_forbidden"
    status = http.HTTPStatus.FORBIDDEN


class PreviouslyRefused(Refusal):
    """A request with this id was refused earlier; the refusal is final."""

    code = "refused_before"


class InstanceLeaving(Refusal):
    """The instance is shutting down."""

    code = "instance_leaving"


class NotReady(CallRejected):
    """The instance has no configuration yet."""

    code = "not_ready"
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class CallerDisconnected(Refusal):
    """The caller stayed disconnected longer than the grace time."""

    code = "caller_gone"


class Cancelled(Refusal):
    """The caller cancelled the request while it was queued."""

    code = "cancelled"


class ServerDeclined(Refusal):
    """The backend server declined the request before running it."""

    code = "server_declined"


class DependencyDown(Refusal):
    """A service that this one depends on is unavailable."""

    code = "dependency_unavailable"


class OutcomeUnknown(Refusal):
    """The request may have run; no reachable process knows its outcome."""

    code = "outcome_unknown"
    outcome = "outcome_unknown"
    status = http.HTTPStatus.BAD_GATEWAY


class TokenExpired(OutcomeUnknown):
    """The token in the request id expired before the owner received the request."""

    code = "token_expired"


class OwnerLost(OutcomeUnknown):
    """The owner has failed and no engine has the stream."""

    code = "owner_gone"


class AnswerLost(OutcomeUnknown):
    """The request was sent, but its response was interrupted and not recovered."""

    code = "answer_lost"


class DeadlineExceeded(OutcomeUnknown):
    """The request was running when its deadline passed."""

    code = "deadline_exceeded"


class AnswerExpired(Refusal):
    """The request completed; its response is no longer stored."""

    code = "answer_forgotten"
    outcome = "completed"
    status = http.HTTPStatus.GONE


class BackendFailed(Refusal):
    """The request ran and the backend server returned an error."""

    code = "backend_failed"
    outcome = "failed"
    status = http.HTTPStatus.INTERNAL_SERVER_ERROR


class BadQuery(CallRejected):
    """A query parameter is malformed."""

    code = "bad_query"


class UnsupportedContentType(CallRejected):
    """The content type of the body is not application/json."""

    code = "wrong_content_type"
    status = http.HTTPStatus.UNSUPPORTED_MEDIA_TYPE


class HeadersTooLarge(CallRejected):
    """The headers or the URL exceed the size limit."""

    code = "headers_too_large"
    status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class BodyTimeout(CallRejected):
    """The body did not arrive in time."""

    code = "slow_body"
    status = http.HTTPStatus.REQUEST_TIMEOUT


class NotFinished(CallRejected):
    """A request that has not finished cannot be acknowledged."""

    code = "not_finished"
    status = http.HTTPStatus.CONFLICT


class IdConflict(OutcomeUnknown):
    """The id is in use by a request with another body; this call had no effect."""

    code = "id_conflict"
    status = http.HTTPStatus.CONFLICT


class CancelledWhileRunning(OutcomeUnknown):
    """The caller cancelled the request while it was running."""

    code = "cancelled_running"


class CallerDisconnectedWhileRunning(OutcomeUnknown):
    """The caller stayed disconnected past the grace time while the request ran."""

    code = "caller_gone_running"


class InternalError(Refusal):
    """An internal error of the daemon ended the request before it was sent."""

    code = "internal_error"


class AdminRefusal(DaemonError):
    """The admin interface refused a call."""

    code = "admin_refused"
    status = http.HTTPStatus.BAD_REQUEST


class AdminBadRequest(AdminRefusal):
    """A parameter of the call is missing or malformed."""

    code = "admin_bad_request"


class AdminUnauthorized(AdminRefusal):
    """The call has no valid credential of an operator or a team."""

    code = "admin_unauthorized"
    status = http.HTTPStatus.UNAUTHORIZED


class AdminForbidden(AdminRefusal):
    """Only operators may make this call."""

    code = "admin_forbidden"
    status = http.HTTPStatus.FORBIDDEN


class AdminNotFound(AdminRefusal):
    """The requested name or id does not exist on this instance."""

    code = "admin_unknown"
    status = http.HTTPStatus.NOT_FOUND


class AdminInstanceUnreachable(AdminRefusal):
    """The instance that has the requested data did not respond."""

    code = "admin_elsewhere"
    status = http.HTTPStatus.BAD_GATEWAY
