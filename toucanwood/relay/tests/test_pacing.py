import asyncio

from toucanwood.controller import decode_payload
from toucanwood.controller._messages import encode_payload
from toucanwood.relay._pacing import PIECE_BYTES, StreamPacer
from toucanwood.utils import run_virtual

# A small entry has a link of 2.75 Mbit/s.
SLOW_LINK = 2.75e6 / 8
FAST_LINK = 1e9 / 8


async def send(pacer, size, due_at):
    """Write one response in pieces and return when its last piece may leave."""
    for _ in range(size // PIECE_BYTES):
        await pacer.acquire(PIECE_BYTES, due_at)
    return asyncio.get_running_loop().time()


# Guards against small requests that wait behind large responses in the link's queue:
# each of them would wait for all the bytes that are queued there.
def test_large_responses_leave_the_queue_of_a_slow_link_short():
    async def scenario():
        pacer = StreamPacer.from_link(SLOW_LINK)
        loop = asyncio.get_running_loop()
        free_at = 0.0
        longest = 0.0

        async def send_on_link():
            nonlocal free_at, longest
            for _ in range(22):
                await pacer.acquire(PIECE_BYTES, 1.0)
                free_at = max(free_at, loop.time()) + PIECE_BYTES / SLOW_LINK
                longest = max(longest, free_at - loop.time())

        await asyncio.gather(*(send_on_link() for _ in range(20)))
        assert longest <= 2 * PIECE_BYTES / SLOW_LINK

    run_virtual(scenario())


def test_one_response_on_a_fast_link_does_not_wait():
    async def scenario():
        pacer = StreamPacer.from_link(FAST_LINK)
        assert await send(pacer, 90_000, due_at=1.0) < 1e-6

    run_virtual(scenario())


# Guards against a burst of large responses that share the link evenly, so that each
# of them is late: 6 x 88 KB need 2.2 s of the link.
def test_responses_that_are_due_first_get_the_link_first():
    async def scenario():
        pacer = StreamPacer.from_link(SLOW_LINK)
        dues = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0]
        ends = await asyncio.gather(*(send(pacer, 90_000, due) for due in dues))
        assert all(end <= due for end, due in zip(ends, dues, strict=True))

    run_virtual(scenario())


# Guards against responses in time that wait behind one that is late anyway.
def test_late_response_gets_the_link_last():
    async def scenario():
        await asyncio.sleep(1.0)
        pacer = StreamPacer.from_link(SLOW_LINK)
        late, timely = await asyncio.gather(
            send(pacer, 180_000, due_at=0.5), send(pacer, 90_000, due_at=1.6)
        )
        assert timely < 1.6 < late

    run_virtual(scenario())


# Guards against a link that stays blocked by a response whose caller has left.
def test_cancelled_response_leaves_its_place():
    async def scenario():
        pacer = StreamPacer.from_link(SLOW_LINK)
        first = asyncio.create_task(send(pacer, 900_000, due_at=1.0))
        second = asyncio.create_task(send(pacer, 90_000, due_at=2.0))
        await asyncio.sleep(0.1)
        first.cancel()
        assert await second < 0.7

    run_virtual(scenario())


# Guards against a change of many routes that fills a small entry's link.
def test_change_of_many_routes_is_short():
    routes = [
        {
            "name": f"r-{number}",
            "host": f"host-{number}.example",
            "prefix": f"/path-{number}/",
            "kind": "safe",
            "timeout_ms": 1000,
            "objective_ms": 250,
            "splits": [{"service": "s", "weight": 1}],
        }
        for number in range(900)
    ]
    data = encode_payload(routes)
    assert decode_payload(data) == routes
    assert len(data) < 0.2 * SLOW_LINK
