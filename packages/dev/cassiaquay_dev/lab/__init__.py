"""In-process models: fleets and shards in virtual time, and ownership model checks."""
