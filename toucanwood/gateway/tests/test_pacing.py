from toucanwood.controller import unpack_part
from toucanwood.controller._messages import pack_part
from toucanwood.gateway._pacing import EARLY_S, PIECE_BYTES, StreamPacer

# A small entry has a link of 2.75 Mbit/s.
SLOW_LINK = 2.75e6 / 8
FAST_LINK = 1e9 / 8


# Guards against small requests that wait behind large responses in the link's queue.
def test_large_responses_leave_a_part_of_a_slow_link_to_others():
    pacer = StreamPacer.from_link(SLOW_LINK)
    now = 0.0
    sent = 0
    while now < 10.0:
        now += pacer.reserve(PIECE_BYTES, now)
        sent += PIECE_BYTES
        now += 1e-6
    assert sent <= 0.7 * SLOW_LINK * (10.0 + EARLY_S)


def test_one_response_on_a_fast_link_does_not_wait():
    pacer = StreamPacer.from_link(FAST_LINK)
    delays = [pacer.reserve(PIECE_BYTES, 0.0) for _ in range(90_000 // PIECE_BYTES)]
    assert max(delays) == 0.0


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
    data = pack_part(routes)
    assert unpack_part(data) == routes
    assert len(data) < 0.2 * SLOW_LINK
