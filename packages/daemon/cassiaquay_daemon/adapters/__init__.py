"""Protocol adapters: send a request to one backend server and read its answer.

The fleet text (the operator's configuration) selects an adapter from a registry; the
owners' dispatch calls it. Choosing the server and deciding on retries happens there.
"""
