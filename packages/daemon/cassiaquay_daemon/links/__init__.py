"""Connections between instances: framed msgpack messages over streams.

Every package that exchanges messages with other instances does so through this one. It
must not depend on their meaning: each goes to the handler registered for its type.
"""
