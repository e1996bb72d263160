"""Callers that send short requests behind a download on one connection."""

import asyncio
import time

from soak._callers import RepeatingCaller
from soak._http import encode_request, read_response

REQUESTS_BEHIND = 3
# When the requests are sent that follow the download.
DELAYS_S = (0.0, 0.0, 0.1)
DEADLINE_MS = 4000
# Number of times in a run that a connection may end before all answers.
MAX_LOST = 3


class PipeliningCaller(RepeatingCaller):
    """Send a download and requests behind it, and count those without an answer.

    A request counts if its target has sent the whole answer and the entry closes the
    connection without it.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._lost = 0

    async def send(self, name, reader, writer):
        """Send a download and the requests behind it."""
        paths = ["/download/x"] + ["/safe/x"] * REQUESTS_BEHIND
        ids = [self._next_id() for _ in paths]
        self._history.download_ids.add(ids[0])
        requests = []
        for request_id, path in zip(ids, paths, strict=True):
            headers = self._build_headers(request_id, deadline_ms=DEADLINE_MS)
            requests.append(encode_request("GET", path, headers))
            self._history.record_sent(request_id, name)
        begin = time.monotonic()
        pending = list(ids)
        try:
            writer.write(requests[0])
            await asyncio.sleep(self._rng.choice(DELAYS_S))
            writer.write(b"".join(requests[1:]))
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await self._read_responses(reader, pending)
        except TimeoutError:
            # The caller closes the connection, not the entry.
            return
        except (OSError, EOFError) as error:
            reason = repr(error)
        else:
            reason = "a response is incomplete"
        lost = [item for item in pending if item in self._history.answered_ids]
        if lost:
            self._record_lost(name, begin, lost, reason)

    async def _read_responses(self, reader, pending):
        """Read responses until the end or an incomplete one; shorten `pending`."""
        while pending:
            response = await read_response(reader)
            request_id = pending.pop(0)
            self._history.record_response(
                request_id, response, is_after_recovery_period=False
            )
            if not response.is_complete:
                return

    def _record_lost(self, name, begin, lost, reason):
        self._lost += 1
        if self._lost <= MAX_LOST:
            return
        message = f"{lost}: answered by their targets, not by {name}: {reason}"
        names = {name, *self._history.target_ids}
        item = names, begin, time.monotonic(), message
        self._history.interrupted.append(item)
