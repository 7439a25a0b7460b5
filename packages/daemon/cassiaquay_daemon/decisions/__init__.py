"""Queueing, placement, shedding and rate limits: state and arithmetic only.

Keepers (which admit requests to the shards of a pool) and the gateway report events to
this package and carry out its decisions. It must not open connections, read settings
from files or await anything, so that each policy can be simulated in virtual time.
"""
