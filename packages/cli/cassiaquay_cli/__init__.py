"""Command line for operators; it calls the daemons' operators' addresses over HTTP."""
