"""HTTP interface for callers: accepts requests, streams events, relays to owners.

It serves the product's own caller library; plain HTTP callers of the platform use the
gateway instead. It checks only that a request is well formed and which team and owner
(the instance that keeps the request's state) it belongs to.
"""
