"""Daemons whose store returns from a copy: revisions go back, its epoch rises."""

import gateway_fakes as fakes
import restored_fakes as restored


def test_configurations_after_a_return_from_a_copy_come_into_force() -> None:
    """Guards against serving a revoked key until revisions have caught up."""

    async def work(site: fakes.Site) -> None:
        restored.publish(site, 2, "key", "revoked")
        await restored.until(restored.all_serve(site, 2))
        copy = site.store.copy()
        restored.raise_revision(site, copy.revision + restored.LOST_REVISIONS)
        restored.publish(site, 4, "key", "revoked")
        await restored.until(restored.all_serve(site, 4))
        restored.restore(site, copy, restored.LOWER)
        restored.publish(site, 4, "key", "revoked")
        restored.publish(site, 6, "key", "added")
        await restored.until(restored.all_serve(site, 6))
        for at in range(len(site.daemons)):
            assert (await site.ask("/safe/x", at=at, Api_Key="added")).status == 200
            assert (await site.ask("/safe/x", at=at, Api_Key="revoked")).status == 401

    for count in (1, 3):
        fakes.run(work, count=count)
