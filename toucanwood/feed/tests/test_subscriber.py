"""Tests of the subscriber's clock and of its choice of a replica."""

import asyncio

from toucanwood.feed import CatalogView, Subscriber, WithdrawalGossip, rank_replicas
from toucanwood.feed._messages import PollState, StateUpdate
from toucanwood.peering import PeerUnavailable
from toucanwood.utils import run_virtual
from toucanwood.verdicts import Execution

RANKED = rank_replicas("e1", ["c1", "c2", "c3", "c4"])


class SlowTransport:
    """Answer polls after a delay, with a lease age, or not at all if it is None."""

    instance_id = "e1"

    def __init__(self, lease_ages, *, delay=0.3):
        self.lease_ages = dict(zip(RANKED, lease_ages, strict=True))
        self.delay = delay

    def register(self, message_type, handler):
        pass

    async def call(self, peer_id, body, *, timeout):
        assert isinstance(body, PollState)
        lease_age = self.lease_ages[peer_id]
        if lease_age is None:
            await asyncio.sleep(timeout)
            raise PeerUnavailable(peer_id, "silent", Execution.MAY_HAVE_RUN)
        await asyncio.sleep(self.delay)
        return StateUpdate(0, lease_age, [])


async def find_greatest_age(transport, change=None, *, until=8.0):
    """Return the greatest age of the view after its first proof."""
    loop = asyncio.get_running_loop()
    view = CatalogView(created_at=loop.time())
    gossip = WithdrawalGossip(transport=transport, view=view)
    subscriber = Subscriber(
        transport=transport, view=view, gossip=gossip, replicas=lambda: RANKED
    )
    await subscriber.start()
    await asyncio.sleep(2.0)
    transport.lease_ages.update(change or {})
    ages = []
    while loop.time() < until:
        await asyncio.sleep(0.01)
        ages.append(view.get_age(loop.time()))
    await subscriber.stop()
    return max(ages), min(ages)


def test_age_counts_from_the_send_time_of_the_poll():
    # Guards against a slow answer that makes an old state look current.
    greatest, least = run_virtual(find_greatest_age(SlowTransport([0.1] * 4)))
    assert 0.39 < least < 0.42
    assert 0.89 < greatest < 0.92


def test_bad_replicas_are_left_before_keys_go_stale():
    # Guards against an instance that stays with a dead or isolated replica.
    for bad in (None, 9.0):
        change = dict.fromkeys(RANKED[:3], bad)
        transport = SlowTransport([0.1] * 4, delay=0.02)
        greatest, _ = run_virtual(find_greatest_age(transport, change))
        # 1.5 s for the first replica, 0.5 s for each of the others.
        assert 2.0 < greatest < 2.7
