"""An answer that ends some bytes early and comes through a relay."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_2 import (
    EXIT_BROKEN,
    EXIT_HELD,
    Fleet,
    NotRun,
    Operator,
    Record,
    Sent,
    Server,
    build_config,
    build_route,
    has_trouble,
    run_case,
    send,
    wait_served,
)

FOLDER = pathlib.Path(__file__).resolve().parent
TIMEOUT_MS = 1500
BODY = b"b" * 6000
# Two servers of four are faulty and break off one of 50 of their downloads, this number
# of bytes before the end: share = 0.5, x = 0.02.
GARBLED_INTERVAL = 50
FIRST_GARBLED = 10
MISSING_BYTES = 5
ROUNDS = 120
ROUND_INTERVAL_S = 0.1


class Downloads:
    """Answer downloads; with trouble, some answers of one server are broken off."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._count = 0
        # The servers that break off answers.
        self.faulty: list[Server] = []

    async def reply(
        self,
        server: Server,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> bytes:
        """Return the answer; the connection is closed behind a shorter one."""
        await asyncio.sleep(0.05)
        head = server.build_head(200, headers, len(BODY))
        if server not in self.faulty or not path.startswith("/archivo/"):
            return head + BODY
        self._count += 1
        if self._count % GARBLED_INTERVAL != FIRST_GARBLED:
            return head + BODY
        request_id = headers["x-request-id"]
        self._record.say(f"server {server.id} breaks off its answer to {request_id}")
        server.closes_after_answer = True
        return head + BODY[:-MISSING_BYTES]


async def play(record: Record) -> int:
    """Play the case and return its exit status."""
    fleet = Fleet(
        record,
        fronts=["mty-a", "gdl-a"],
        cores=["mty-a", "gdl-a", "mid-a"],
        is_grown=True,
    )
    downloads = Downloads(record)
    servers = [
        Server(fleet, "expedientes", zone, number, downloads.reply)
        for number, zone in enumerate(("mty-a", "mty-a", "gdl-a", "gdl-a"))
    ]
    try:
        fleet.start_all()
        routes = [
            build_route(
                "r-archivo",
                "/archivo/",
                type="download",
                service="expedientes",
                timeout_ms=TIMEOUT_MS,
            ),
            build_route(
                "r-lote", "/lote/", service="expedientes", timeout_ms=TIMEOUT_MS
            ),
        ]
        config = build_config("r1", routes, ["expedientes"])
        answer = await Operator(fleet).order(
            "PUT", "/toucanwood/config", config, if_match="0", within_s=30.0
        )
        if answer.status != 200:
            raise NotRun(f"the configuration gets {answer.status}")
        for server in servers:
            await server.start()
        await wait_served(fleet, ["/archivo/0", "/lote/0"])
        # Relays are used once the controllers know each other, contact_ms later.
        await asyncio.sleep(3.0)
        downloads.faulty = servers[::2] if has_trouble() else []
        sent = await _send_all(fleet)
    finally:
        for server in servers:
            await server.stop()
        fleet.stop_all()
    return _judge(record, sent)


async def _send_all(fleet: Fleet) -> list[Sent]:
    """Send a download and a look-up to each front at a time, for some seconds."""
    tasks = []
    for number in range(ROUNDS):
        for front in fleet.fronts:
            for path in (f"/archivo/{number}", f"/lote/{number}"):
                sending = send(fleet, front, path, wait_s=4.0)
                tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(ROUND_INTERVAL_S)
    return list(await asyncio.gather(*tasks))


def _judge(record: Record, sent: list[Sent]) -> int:
    """Check the rule MIXED: a success bears the whole body of the server."""
    wrong = [item for item in sent if item.status == 200 and item.body != BODY]
    for item in wrong:
        record.say(
            f"client {item.request_id} gets 200 with signature "
            f"{item.headers.get('x-response-signature')}, {len(item.body)} bytes, "
            f"which end with {item.body[-8:]!r}; the server sent {BODY[-8:]!r} less "
            f"{MISSING_BYTES} bytes"
        )
    served = sum(item.status == 200 for item in sent)
    record.say(f"{len(sent)} requests, {served} served, {len(wrong)} with a wrong body")
    return EXIT_BROKEN if wrong else EXIT_HELD


if __name__ == "__main__":
    run_case(str(FOLDER), play)
