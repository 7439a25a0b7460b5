"""Connections between instances: framed msgpack messages over streams.

Every room that talks to other instances sends and receives through here. It must not
know what a message is for: it delivers each to whoever asked for its type.
"""
