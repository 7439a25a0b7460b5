"""One request's life on the own interface: accepted, gated, dispatched, answered.

The interface room hands requests in and reads streams out. It must not know HTTP
towards callers, nor how a keeper decides.
"""
