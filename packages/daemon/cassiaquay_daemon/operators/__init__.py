"""Operators' interface: admin calls, explanations, error-budget burn, history, metrics.

The command line calls it over HTTP. Owners and the gateway report each ended request to
it. It only observes: it must not influence a request, and no request waits for it.
"""
