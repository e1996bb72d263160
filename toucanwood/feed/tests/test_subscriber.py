"""Tests of the age of the view and of the choice of a replica by the subscriber."""

import asyncio

from toucanwood.feed import CatalogView, Subscriber, WithdrawalGossip, rank_replicas
from toucanwood.feed._messages import PollState, StateUpdate
from toucanwood.peering import PeerUnavailable
from toucanwood.utils import run_virtual
from toucanwood.verdicts import Execution

RANKED = rank_replicas("e1", ["c1", "c2", "c3", "c4"])


class SlowTransport:
    """Reply to polls after a delay; a replica with the lease age None never replies."""

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


async def find_extreme_ages(transport, change=None, *, until=8.0):
    """Return the highest and lowest age of the view from 2 s after the start."""
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


def test_age_is_measured_from_the_send_time_of_the_poll():
    # Guards against a slow reply that makes an old state appear current.
    highest, lowest = run_virtual(find_extreme_ages(SlowTransport([0.1] * 4)))
    assert 0.39 < lowest < 0.42
    assert 0.89 < highest < 0.92


def test_subscriber_leaves_failed_replicas_before_the_state_is_stale():
    # Guards against an instance that keeps polling a dead or isolated replica.
    for bad in (None, 9.0):
        change = dict.fromkeys(RANKED[:3], bad)
        transport = SlowTransport([0.1] * 4, delay=0.02)
        highest, _ = run_virtual(find_extreme_ages(transport, change))
        # 1.5 s for the first failed replica and 0.5 s for each of the other two.
        assert 2.0 < highest < 2.7
