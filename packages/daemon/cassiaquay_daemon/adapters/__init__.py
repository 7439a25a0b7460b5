"""How a request is sent to one backend server and how its answer is read.

A registry of adapters, chosen by the fleet text; the owners' dispatch calls them. It
must not know why this server was chosen, nor whether the request may be sent again.
"""
