"""Stand-ins for the outside: engines, plain servers, both platforms' services."""
