"""Test harness: an entry with scripted targets on loopback, and a caller."""

import asyncio
import contextlib
import socket
import struct

import attrs

from toucanwood.fleet import Target, TargetState
from toucanwood.gateway import GatewayInstance, GatewaySettings, HeaderNames

NAMES = HeaderNames(signature="Toucanwood-Signature")
ROUTES = {
    "/safe/": {"kind": "safe"},
    "/unsafe/": {"kind": "unsafe"},
    "/open/": {"kind": "safe", "open": True},
    "/large/": {"kind": "download"},
    "/short/": {"kind": "safe", "timeout_ms": 300},
    "/home/": {"kind": "safe", "regions": ["south"]},
}
KEY = "secret-key"
MAX_ENDLESS_WRITES = 20_000


@attrs.define
class ReceivedRequest:
    """One request as a target received it."""

    line: str
    headers: dict
    body: bytes


class ScriptedTarget:
    """A target that runs one step of a script for each request, then answers 200."""

    def __init__(self, name, *script):
        self.name = name
        self.script = list(script)
        self.received = []
        self.closed = 0
        self.tasks = set()
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def _accept(self, reader, writer):
        # Python 3.11 logs the cancellation of a handler task that asyncio has created
        # as an error.
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader, writer):
        try:
            await self._run_script(reader, writer)
        finally:
            writer.close()

    async def _run_script(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                line, *rest = head.strip().split("\r\n")
                headers = dict(item.split(": ", 1) for item in rest)
                size = int(headers.get("Content-Length", 0))
                body = await reader.readexactly(size)
                self.received.append(ReceivedRequest(line, headers, body))
                step = self.script.pop(0) if self.script else respond()
                if not await step(writer, headers):
                    break
        self.closed += 1

    async def stop(self):
        """Close every connection; an open one would be reported by the interpreter."""
        self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def describe(self, data_centre="a"):
        return Target(
            id=self.name,
            start_time_ms=1,
            sequence=1,
            service="s",
            address=self.address,
            data_centre=data_centre,
            software="",
            slots=4,
            state=TargetState.READY,
            remaining_cold_start_s=0.0,
        )


def encode_response(status, headers, body, *, request_id, signed=True, length=None):
    lines = [f"HTTP/1.1 {status} X", f"{NAMES.request_id}: {request_id}"]
    if signed:
        lines.append(f"{NAMES.signature}: s")
    lines += headers
    if length is not False:
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def respond(
    status=200, body=b"whole", headers=(), *, signed=True, length=None, keep=True
):
    async def step(writer, request):
        request_id = request.get(NAMES.request_id, "")
        writer.write(
            encode_response(
                status,
                list(headers),
                body,
                request_id=request_id,
                signed=signed,
                length=length,
            )
        )
        await writer.drain()
        return keep

    return step


def respond_not_run(headers=()):
    return respond(503, b"", [f"{NAMES.not_run}: 1", *headers], signed=False)


def respond_misdirected():
    return respond(421, b"", signed=False)


def respond_to_another_first(body=b"whole", headers=()):
    async def step(writer, request):
        own_id = request[NAMES.request_id]
        foreign = encode_response(200, headers, b"foreign", request_id="another")
        writer.write(foreign)
        writer.write(encode_response(200, [], body, request_id=own_id))
        await writer.drain()
        return True

    return step


def respond_endlessly(start, data):
    """Send some bytes, then others again and again until the entry closes."""

    async def step(writer, request):
        own_id = request[NAMES.request_id].encode()
        writer.write(start.replace(b"OWN-ID", own_id))
        for _ in range(MAX_ENDLESS_WRITES):
            writer.write(data)
            await writer.drain()
            if writer.transport.is_closing():
                return False
            await asyncio.sleep(0)
        raise AssertionError("the entry has not closed the connection")

    return step


def respond_with_extra_bytes(body=b"whole", extra=b"\x00junk\r\n\r\n"):
    """Send a complete response and bytes that belong to no request."""

    async def step(writer, request):
        own_id = request[NAMES.request_id]
        writer.write(encode_response(200, [], body, request_id=own_id) + extra)
        await writer.drain()
        return True

    return step


def respond_after_refusal_of(earlier_id, body=b"own"):
    """Repeat the refusal of an earlier request, then send the response."""

    async def step(writer, request):
        headers = [f"{NAMES.not_run}: 1"]
        refusal = encode_response(
            503, headers, b"", request_id=earlier_id, signed=False
        )
        own_id = request[NAMES.request_id]
        writer.write(refusal + encode_response(200, [], body, request_id=own_id))
        await writer.drain()
        return True

    return step


def respond_without_length(body=b"part", *, reset=False):
    """Respond without a Content-Length, then close or reset the connection."""

    async def step(writer, request):
        own_id = request[NAMES.request_id]
        writer.write(encode_response(200, [], body, request_id=own_id, length=False))
        await writer.drain()
        await asyncio.sleep(0.02)
        if reset:
            _reset(writer)
        return False

    return step


def reset_connection():
    async def step(writer, request):
        _reset(writer)
        return False

    return step


def stay_silent(seconds=30.0):
    async def step(writer, request):
        await asyncio.sleep(seconds)
        return False

    return step


def respond_later(seconds, body, running_counts):
    """Respond after some time; append each count of running requests to a list."""

    async def step(writer, request):
        running_counts.append(running_counts[-1] + 1 if running_counts else 1)
        await asyncio.sleep(seconds)
        running_counts.append(running_counts[-1] - 1)
        return await respond(body=body)(writer, request)

    return step


def respond_cut_after(size, *, is_reset):
    """Send the first bytes of a response, then close or reset the connection."""

    async def step(writer, request):
        request_id = request.get(NAMES.request_id, "")
        response = encode_response(200, [], b"whole", request_id=request_id)
        writer.write(response[:size])
        await writer.drain()
        if is_reset:
            # The bytes would be discarded if the reset followed at once.
            await asyncio.sleep(0.005)
            _reset(writer)
        return False

    return step


def respond_slowly(seconds):
    """Send the response after some time."""

    async def step(writer, request):
        await asyncio.sleep(seconds)
        return await respond()(writer, request)

    return step


def _reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def build_routing_document():
    routes = [
        {
            "name": prefix.strip("/"),
            "host": "shop",
            "prefix": prefix,
            "service": "s",
            "timeout_ms": 2000,
            "objective_ms": 1000,
            "max_attempts": 2,
            **rules,
        }
        for prefix, rules in ROUTES.items()
    ]
    organisation = {"name": "org", "keys": [KEY], "rate": 100, "burst": 100}
    return {
        "revision": 1,
        "routes": routes,
        "services": [{"name": "s"}],
        "organisations": [organisation],
    }


def build_settings(**overrides):
    settings = {
        "id": "127.0.0.1",
        "data_centre": "a",
        "region": "north",
        "listen": "127.0.0.1:0",
        "ready": "127.0.0.1:0",
        "peer": "127.0.0.1:0",
        "peer_port": 1,
        "controllers": ["127.0.0.9"],
        "region_by_data_centre": {"a": "north", "b": "south"},
        "link_bytes_per_s": 125e6,
        "stop_grace_s": 1.0,
        "retry_slack": 10.0,
    }
    return GatewaySettings.from_config({**settings, **overrides})


class Harness:
    """An entry, its targets and a caller."""

    def __init__(self, entry, targets):
        self.entry = entry
        self.targets = targets
        self._next_id = 0

    @property
    def received(self):
        return [item for target in self.targets for item in target.received]

    async def connect(self):
        host, _, port = self.entry.server.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def connect_without_reading(self):
        """Return the socket of a caller for which the system holds few bytes."""
        host, _, port = self.entry.server.address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return sock

    def build_request(self, path, *, method="GET", key=KEY, body=b"", **headers):
        self._next_id += 1
        request_headers = {
            "Host": "shop",
            NAMES.request_id: f"id-{self._next_id}",
            NAMES.remaining_ms: "1500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        if body:
            request_headers["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request_headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def send(self, path, **options):
        """Return status, headers and body; the body is None if it was truncated."""
        reader, writer = await self.connect()
        writer.write(self.build_request(path, **options))
        try:
            return await read_response(reader)
        finally:
            writer.close()


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *rest = head.strip().split("\r\n")
    headers = dict(item.split(": ", 1) for item in rest)
    try:
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        body = None
    return int(line.split()[1]), headers, body


@contextlib.asynccontextmanager
async def run_harness(
    *targets, data_centres=None, remaining_cold_start_s=0.0, **overrides
):
    for target in targets:
        await target.start()
    entry = GatewayInstance(build_settings(**overrides), NAMES)
    entry.network.start = do_nothing
    await entry.start()
    target_data_centres = data_centres or ["a"] * len(targets)
    target_values = [
        attrs.evolve(
            target.describe(data_centre), remaining_cold_start_s=remaining_cold_start_s
        ).to_wire()
        for target, data_centre in zip(targets, target_data_centres, strict=True)
    ]
    entry.view.replace(1, [1, build_routing_document(), [], target_values])
    entry.dispatcher.update(entry.view, frozenset({entry.settings.id}))
    entry.feed.measure_state_age = lambda now: 0.0
    try:
        yield Harness(entry, targets)
    finally:
        await entry.server.stop()
        await entry.ready_server.stop()
        await entry.prober.stop()
        await entry.feed.stop()
        await entry.network.stop()
        for target in targets:
            await target.stop()
        # Transports that are closed report the loss of the connection in the next step.
        await asyncio.sleep(0)


async def do_nothing():
    return None


def run_scenario(scenario, *targets, **harness_options):
    """Run a scenario with an entry and targets."""

    async def main():
        async with run_harness(*targets, **harness_options) as harness:
            await scenario(harness)

    asyncio.run(main())
