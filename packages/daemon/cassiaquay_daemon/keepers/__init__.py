"""Keepers, which admit requests to shards and limits, and the clients of keepers.

Passes demands, permits, renewals and limits between owners, which dispatch requests,
and the ``decisions`` package. Owners and the gateway obtain capacity here. This package
must not depend on how a request is sent or answered.
"""
