import asyncio

from toucanwood.controller import decode_payload
from toucanwood.controller._messages import encode_payload
from toucanwood.relay._pacing import PIECE_BYTES, StreamPacer
from toucanwood.utils import run_virtual

# The link rate of a small entry is 2.75 Mbit/s.
SLOW_LINK = 2.75e6 / 8
FAST_LINK = 1e9 / 8


async def send_response(pacer, size, due_at):
    """Send one response in pieces; return the time at which the last one is granted."""
    for _ in range(size // PIECE_BYTES):
        await pacer.acquire(PIECE_BYTES, due_at)
    return asyncio.get_running_loop().time()


# Guards against small requests that wait in the queue of the link for all the bytes of
# large responses that were queued before.
def test_large_responses_keep_the_queue_of_a_slow_link_short():
    async def scenario():
        pacer = StreamPacer.from_link(SLOW_LINK)
        loop = asyncio.get_running_loop()
        link_free_at = 0.0
        max_wait = 0.0

        async def send_on_link():
            nonlocal link_free_at, max_wait
            for _ in range(22):
                await pacer.acquire(PIECE_BYTES, 1.0)
                link_free_at = max(link_free_at, loop.time()) + PIECE_BYTES / SLOW_LINK
                max_wait = max(max_wait, link_free_at - loop.time())

        await asyncio.gather(*(send_on_link() for _ in range(20)))
        assert max_wait <= 2 * PIECE_BYTES / SLOW_LINK

    run_virtual(scenario())


def test_one_response_on_a_fast_link_does_not_wait():
    async def scenario():
        pacer = StreamPacer.from_link(FAST_LINK)
        assert await send_response(pacer, 90_000, due_at=1.0) < 1e-6

    run_virtual(scenario())


# Guards against a burst of large responses that share the link evenly, so that all of
# them are late: 6 x 88 KB take 2.2 s on the link.
def test_responses_are_sent_earliest_due_time_first():
    async def scenario():
        pacer = StreamPacer.from_link(SLOW_LINK)
        due_times = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0]
        ends = await asyncio.gather(
            *(send_response(pacer, 90_000, due) for due in due_times)
        )
        assert all(end <= due for end, due in zip(ends, due_times, strict=True))

    run_virtual(scenario())


# Guards against responses that become late behind a response that is late already.
def test_late_response_is_sent_last():
    async def scenario():
        await asyncio.sleep(1.0)
        pacer = StreamPacer.from_link(SLOW_LINK)
        late, on_time = await asyncio.gather(
            send_response(pacer, 180_000, due_at=0.5),
            send_response(pacer, 90_000, due_at=1.6),
        )
        assert on_time < 1.6 < late

    run_virtual(scenario())


# Guards against a link that stays reserved for the response to a disconnected caller.
def test_cancelled_response_frees_the_link():
    async def scenario():
        pacer = StreamPacer.from_link(SLOW_LINK)
        first = asyncio.create_task(send_response(pacer, 900_000, due_at=1.0))
        second = asyncio.create_task(send_response(pacer, 90_000, due_at=2.0))
        await asyncio.sleep(0.1)
        first.cancel()
        assert await second < 0.7

    run_virtual(scenario())


# Guards against an update of many routes that saturates the link of a small entry.
def test_update_of_many_routes_is_small():
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
