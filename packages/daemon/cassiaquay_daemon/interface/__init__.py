"""The own HTTP interface towards callers: requests in, events out, relay to owners.

Callers of the product's own library come in here; callers of the platform's plain
HTTP use the gateway instead. It must not decide anything about a request but whether
it is well formed and whose it is.
"""
