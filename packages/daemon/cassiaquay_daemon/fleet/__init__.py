"""Membership of the fleet, and the configuration and servers in force.

Keepers and owners look up here which instance is the keeper of a shard. The package
must not depend on requests: a stale view may delay responses but not falsify them.
"""
