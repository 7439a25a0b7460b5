"""Stand-ins, load driver and history checker: for development only."""
