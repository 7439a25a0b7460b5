"""The accepted configuration: its types, and the difference between two texts.

The platform's documents and the daemon's own fleet text are both translated into these
types, which all other packages read. This package must not depend on the source of a
configuration, nor on which other instances have it.
"""
