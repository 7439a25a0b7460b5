"""Models without processes: a shard in virtual time, ownership by exploration."""
