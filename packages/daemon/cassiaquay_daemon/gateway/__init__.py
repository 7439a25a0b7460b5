"""The users' platform towards callers: plain HTTP, passed through to backend servers.

Callers connect to its listeners; it asks the keepers room for capacity and the
decisions room for budgets. It must not know the platform's names, which `platform`
decodes, nor how a keeper decides.
"""
