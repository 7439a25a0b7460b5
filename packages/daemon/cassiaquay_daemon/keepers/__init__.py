"""The keeper role of shards and limits, and the owners' way to keepers.

Carries demands, permits, renewals and limits between owners and the decisions room.
Owners and the gateway ask here for capacity. It must not know how a request is sent
or answered.
"""
