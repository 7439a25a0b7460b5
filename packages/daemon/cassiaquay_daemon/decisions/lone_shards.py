"""What a shard asks of its pool's other shards, answered for a pool of one shard."""


def no_sibling(waiting: object, limit: float) -> str:
    """Return an empty string: there is no other shard."""
    return ""


def may_shed(rank: int) -> bool:
    """Allow shedding of any rank: there is no lower tier elsewhere."""
    return True
