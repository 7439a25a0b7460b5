"""Refusals of the operators' address."""

import http

from .. import exceptions


class AdminRefusal(exceptions.DaemonError):
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
