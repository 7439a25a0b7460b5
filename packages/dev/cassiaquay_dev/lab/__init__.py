"""Models without processes: fleets and shards in virtual time, ownership explored."""
