"""Who is alive, and which configuration and which servers are in force.

The keepers and owners ask here who keeps what; the daemon starts it. It must not know
requests: what is wrong here for a while makes answers slower, never untrue.
"""
