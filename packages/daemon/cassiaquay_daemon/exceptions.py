"""Exceptions of the daemon: one base class, a group per layer, a stable code each.

docs/ERRORS.md lists the codes. Each layer converts the exceptions of the one below. The
first docstring line of a ``Refusal`` is its default message, which is sent to callers.
"""

import http


class DaemonError(Exception):
    """Base class of the daemon's exceptions."""

    code = "daemon"


class UndecodableText(DaemonError):
    """A text of another program is no JSON, or describes nothing of the type."""

    code = "text"


class PeerError(DaemonError):
    """A connection between two instances has failed."""

    code = "peer"


class InvalidFrame(PeerError):
    """A peer sent bytes that do not decode to a known message."""

    code = "peer_frame"


class UnencodableMessage(PeerError):
    """A message has a value or a size that no frame can carry."""

    code = "peer_message"


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


class Deferred(Declined):
    """The backend server declined the request and wants no other for some time."""

    code = "backend_deferred"


class Rejected(BackendError):
    """The backend server validated or ran the request and returned an error."""

    code = "backend_rejected"


class StreamInterrupted(BackendError):
    """The response ended early, or never began, after the request was sent."""

    code = "backend_cut"


class ConnectionBroken(StreamInterrupted):
    """The server closed or reset the connection during a request."""

    code = "backend_broken"


class EndUnproven(StreamInterrupted):
    """Only the end of its connection shows that a stream of the server is whole."""

    code = "backend_end_unproven"


class StreamNotFound(BackendError):
    """The backend server does not have the requested stream."""

    code = "backend_missing"


class StaleAfterPause(NotSent):
    """After a pause, the process must refresh its state before it dispatches."""

    code = "backend_overslept"


class ServerUnavailable(NotSent):
    """The server may get no request now by what it has reported about itself."""

    code = "backend_unavailable"


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
    """The request id is malformed, or its token is not one of ours."""

    code = "bad_id"
    status = http.HTTPStatus.BAD_REQUEST


class TooLarge(CallRejected):
    """The body is larger than allowed."""

    code = "too_large"
    status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class Unauthorized(CallRejected):
    """The credential is missing or unknown."""

    code = "unauthorized"
    status = http.HTTPStatus.UNAUTHORIZED


class Forbidden(CallRejected):
    """The team may not do this."""

    code = "forbidden"
    status = http.HTTPStatus.FORBIDDEN


class UnknownId(CallRejected):
    """The owner of the id has never seen it."""

    code = "unknown_id"
    status = http.HTTPStatus.NOT_FOUND


class NoRoute(CallRejected):
    """No route begins the path on this host."""

    code = "no_route"
    status = http.HTTPStatus.NOT_FOUND


class NoServers(Refusal):
    """No backend server of the service is known."""

    code = "no_servers"


class OriginUnknown(Refusal):
    """No instance knows at which software version the stream began."""

    code = "origin_unknown"


class NoMatchingServers(Refusal):
    """No backend server has the software version that began the stream."""

    code = "no_matching_servers"


class Shed(Refusal):
    """Overload: more important work has the capacity."""

    code = "shed_overload"


class DeadlineInfeasible(Refusal):
    """The answer could not be whole before the deadline."""

    code = "deadline_infeasible"


class Quarantined(Refusal):
    """The request has crashed several servers; it is not sent to another one."""

    code = "crashes_servers"


class LimitReached(Refusal):
    """A limit of the team or service is reached."""

    code = "limit_reached"
    status = http.HTTPStatus.TOO_MANY_REQUESTS


class TableFull(Refusal):
    """The instance holds too many requests."""

    code = "table_full"


class TierForbidden(Refusal):
    """The team may not use this tier."""

    code = "tier_forbidden"
    status = http.HTTPStatus.FORBIDDEN


class PreviouslyRefused(Refusal):
    """The request was refused before and stays refused."""

    code = "refused_before"


class InstanceLeaving(Refusal):
    """The instance is shutting down."""

    code = "instance_leaving"


class NotReady(CallRejected):
    """The instance has no configuration yet."""

    code = "not_ready"
    status = http.HTTPStatus.SERVICE_UNAVAILABLE


class CallerDisconnected(Refusal):
    """The caller's connection was gone for longer than the grace time."""

    code = "caller_gone"


class Cancelled(Refusal):
    """The caller gave the request up while it waited."""

    code = "cancelled"


class ServerDeclined(Refusal):
    """The backend server declined the request before running it."""

    code = "server_declined"


class ServersBusy(Refusal):
    """All backend servers of the service want no request for some time."""

    code = "servers_busy"


class DependencyDown(Refusal):
    """A service that this one depends on cannot serve."""

    code = "dependency_unavailable"


class OutcomeUnknown(Refusal):
    """The request may have run; nobody that could be asked knows."""

    code = "outcome_unknown"
    outcome = "outcome_unknown"
    status = http.HTTPStatus.BAD_GATEWAY


class TokenExpired(OutcomeUnknown):
    """The id's token expired before the owner first saw it."""

    code = "token_expired"


class OwnerLost(OutcomeUnknown):
    """The owner is gone and no engine holds the stream."""

    code = "owner_gone"


class AnswerLost(OutcomeUnknown):
    """The request was sent and its answer broke off for good."""

    code = "answer_lost"


class DeadlineExceeded(OutcomeUnknown):
    """The request was running when its deadline passed."""

    code = "deadline_exceeded"


class AnswerExpired(Refusal):
    """The request completed; its answer is not kept any more."""

    code = "answer_forgotten"
    outcome = "completed"
    status = http.HTTPStatus.GONE


class BackendFailed(Refusal):
    """The request ran and the backend server said no."""

    code = "backend_failed"
    outcome = "failed"
    status = http.HTTPStatus.INTERNAL_SERVER_ERROR


class BadQuery(CallRejected):
    """A parameter of the URL is malformed."""

    code = "bad_query"


class UnsupportedContentType(CallRejected):
    """The body is not of the type application/json."""

    code = "wrong_content_type"
    status = http.HTTPStatus.UNSUPPORTED_MEDIA_TYPE


class HeadersTooLarge(CallRejected):
    """The headers or the URL are larger than allowed."""

    code = "headers_too_large"
    status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class BodyTimeout(CallRejected):
    """The body did not arrive in time."""

    code = "slow_body"
    status = http.HTTPStatus.REQUEST_TIMEOUT


class NotFinished(CallRejected):
    """A request under way cannot be acknowledged."""

    code = "not_finished"
    status = http.HTTPStatus.CONFLICT


class IdConflict(OutcomeUnknown):
    """The id belongs to a request with another body; this one did nothing."""

    code = "id_conflict"
    status = http.HTTPStatus.CONFLICT


class CancelledWhileRunning(OutcomeUnknown):
    """The caller gave the request up while it ran."""

    code = "cancelled_running"


class CallerDisconnectedWhileRunning(OutcomeUnknown):
    """The caller's connection was gone for longer than the grace time."""

    code = "caller_gone_running"


class InternalError(Refusal):
    """An error in the daemon itself ended the request before it was sent."""

    code = "internal_error"
