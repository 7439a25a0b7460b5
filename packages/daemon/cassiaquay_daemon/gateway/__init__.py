"""HTTP gateway: accepts callers' requests and proxies them to backend servers.

It obtains capacity through `keepers` and retry budgets through `decisions`. Header
names and formats of the platform belong to `platform`; how a keeper (which admits
requests to a shard) decides is not known here.
"""
