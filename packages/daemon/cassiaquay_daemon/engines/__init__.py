"""Model engines beside their requests: orders, load reports and cache events.

Runs in the background beside the keepers; the daemon starts it and operators read it.
It must not touch requests: an engine that ignores all orders still serves.
"""
