"""Steady load from callers that cache the lookup list, for end-to-end tests."""

import contextlib
import http.client
import json
import threading
import time

import attrs

PAUSE_S = 0.1
REQUEST_TIMEOUT_S = 8.0
MAX_ATTEMPTS = 8


@attrs.define
class Sent:
    """Tell what happened to one request over all its attempts."""

    path: str
    statuses: list = attrs.field(factory=list)
    notes: list = attrs.field(factory=list)
    body: bytes = b""

    @property
    def is_answered(self):
        return bool(self.statuses) and self.statuses[-1] == 200


class Caller(threading.Thread):
    """Send requests one after another through the entries that lookup lists."""

    def __init__(self, fleet, name, key, *, service, method, resends=False):
        super().__init__(name=name, daemon=True)
        self.addresses = [item["http"] for item in fleet.settings.values()]
        self.key, self.service, self.method = key, service, method
        self.resends = resends
        self.sent = []
        self.stopped = threading.Event()
        self.entries, self.listed_until = [], 0.0
        self.connection, self.connected_to = None, None

    def run(self):
        number = 0
        while not self.stopped.wait(PAUSE_S):
            number += 1
            record = Sent(f"/{self.service}/{self.name}-{number}")
            self.sent.append(record)
            self.send_until_answered(record)

    def stop(self):
        self.stopped.set()
        self.join()

    def list_entries(self):
        if time.monotonic() < self.listed_until:
            return self.entries
        for address in [*self.entries, *self.addresses]:
            with contextlib.suppress(OSError, http.client.HTTPException):
                asked_at = time.monotonic()
                connection = http.client.HTTPConnection(address, timeout=1)
                path = f"/.toucanwood/lookup?service={self.service}"
                connection.request("GET", path)
                response = connection.getresponse()
                found = json.loads(response.read())
                if response.status == 200 and found["entries"]:
                    self.entries = [item["address"] for item in found["entries"]]
                    self.listed_until = asked_at + found["ttl"]
                    return self.entries
        return self.entries or self.addresses

    def send_until_answered(self, record):
        """Use the next listed entry while the request is surely not run."""
        entries = self.list_entries()
        for attempt in range(MAX_ATTEMPTS):
            address = entries[attempt % len(entries)]
            may_resend = self.send_once(record, address)
            if record.is_answered or not may_resend:
                return
            if attempt >= len(entries) - 1 or record.statuses[-1] is None:
                time.sleep(PAUSE_S)

    def send_once(self, record, address):
        """Return whether the request may be sent again."""
        try:
            connection = self.connect(address)
        except OSError as error:
            record.statuses.append(None)
            record.notes.append(f"{address} unreachable: {error}")
            return True
        try:
            connection.request(
                self.method,
                record.path,
                body=b"{}" if self.method == "POST" else None,
                headers=self.build_headers(record),
            )
            response = connection.getresponse()
            record.body = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.disconnect()
            record.statuses.append("cut")
            record.notes.append(f"{address} cut: {error!r}")
            return self.resends
        record.statuses.append(response.status)
        if response.status == 200:
            return False
        record.notes.append(f"{address} {response.status} {record.body.decode()}")
        return self.resends or response.headers["Toucanwood-Verdict"] == "not-run"

    def connect(self, address):
        """Keep a connection for idempotent requests to the same entry."""
        is_kept = self.method == "GET" and self.connected_to == address
        if not is_kept or self.connection.sock is None:
            self.disconnect()
            connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
            connection.connect()
            self.connection, self.connected_to = connection, address
        return self.connection

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection, self.connected_to = None, None

    def build_headers(self, record):
        headers = {"Authorization": f"Bearer {self.key}"}
        if self.resends:
            headers["Idempotency-Key"] = record.path
        return headers


@contextlib.contextmanager
def run_load(fleet, keys, *, resends=False):
    """Run two lookup callers and two order callers; yield them."""
    callers = []
    for number, (service, method) in enumerate(
        [("buscador", "GET"), ("reembolsos", "POST")] * 2
    ):
        key = keys[number % len(keys)]
        options = {"service": service, "method": method}
        options["resends"] = resends and method == "POST"
        callers.append(Caller(fleet, f"caller-{number}", key, **options))
    for caller in callers:
        caller.start()
    try:
        yield callers
    finally:
        for caller in callers:
            caller.stop()


def list_sent(callers):
    return [record for caller in callers for record in caller.sent]
