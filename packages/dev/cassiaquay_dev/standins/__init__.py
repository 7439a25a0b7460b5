"""Stand-ins for external systems: engines, plain servers and platform services."""
