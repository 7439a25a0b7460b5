"""Load generation, benchmarks and history checks for daemons with stand-in backends."""
