"""Load generator for the end-to-end tests: callers that cache the listed entries."""

import contextlib
import http.client
import json
import threading
import time

import attrs

# Pause of a caller between requests, and before a retry where one is needed.
PAUSE_S = 0.1
REQUEST_TIMEOUT_S = 8.0
MAX_ATTEMPTS = 8


@attrs.define
class RequestRecord:
    """Outcome of one request over all its attempts.

    `statuses` has one item for each attempt: the HTTP status, None if the entry could
    not be reached, or "cut" if the connection failed later.
    """

    path: str
    statuses: list = attrs.field(factory=list)
    failures: list = attrs.field(factory=list)
    body: bytes = b""

    @property
    def is_successful(self):
        return bool(self.statuses) and self.statuses[-1] == 200


class Caller(threading.Thread):
    """Thread that sends requests one after another to the entries from the lookup.

    With `uses_idempotency_key`, each request carries a key and is retried after every
    failure; otherwise it is retried only if it has certainly not run.
    """

    def __init__(
        self, fleet, name, key, *, service, method, uses_idempotency_key=False
    ):
        super().__init__(name=name, daemon=True)
        self.addresses = [item["http"] for item in fleet.settings.values()]
        self.key, self.service, self.method = key, service, method
        self.uses_idempotency_key = uses_idempotency_key
        self.records = []
        self.stopped = threading.Event()
        self.entries, self.entries_expire_at = [], 0.0
        self.connection, self.connected_address = None, None

    def run(self):
        request_number = 0
        while not self.stopped.wait(PAUSE_S):
            request_number += 1
            record = RequestRecord(f"/{self.service}/{self.name}-{request_number}")
            self.records.append(record)
            self.send_until_successful(record)

    def stop(self):
        self.stopped.set()
        self.join()

    def look_up_entries(self):
        if time.monotonic() < self.entries_expire_at:
            return self.entries
        for address in [*self.entries, *self.addresses]:
            with contextlib.suppress(OSError, http.client.HTTPException):
                requested_at = time.monotonic()
                connection = http.client.HTTPConnection(address, timeout=1)
                path = f"/.toucanwood/lookup?service={self.service}"
                connection.request("GET", path)
                response = connection.getresponse()
                lookup = json.loads(response.read())
                if response.status == 200 and lookup["entries"]:
                    self.entries = [item["address"] for item in lookup["entries"]]
                    self.entries_expire_at = requested_at + lookup["ttl"]
                    return self.entries
        return self.entries or self.addresses

    def send_until_successful(self, record):
        """Try the listed entries in turn until success or until no retry is allowed."""
        entries = self.look_up_entries()
        for attempt in range(MAX_ATTEMPTS):
            address = entries[attempt % len(entries)]
            may_retry = self.send_once(record, address)
            if record.is_successful or not may_retry:
                return
            if attempt >= len(entries) - 1 or record.statuses[-1] is None:
                time.sleep(PAUSE_S)

    def send_once(self, record, address):
        """Send one attempt and return whether the request may be retried."""
        try:
            connection = self.connect(address)
        except OSError as error:
            record.statuses.append(None)
            record.failures.append(f"{address} unreachable: {error}")
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
            record.failures.append(f"{address} connection failed: {error!r}")
            return self.uses_idempotency_key
        record.statuses.append(response.status)
        if response.status == 200:
            return False
        record.failures.append(f"{address} {response.status} {record.body.decode()}")
        return (
            self.uses_idempotency_key
            or response.headers["Toucanwood-Verdict"] == "not-run"
        )

    def connect(self, address):
        """Return a connection; GET requests to the same entry share one."""
        is_reusable = self.method == "GET" and self.connected_address == address
        if not is_reusable or self.connection.sock is None:
            self.disconnect()
            connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
            connection.connect()
            self.connection, self.connected_address = connection, address
        return self.connection

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection, self.connected_address = None, None

    def build_headers(self, record):
        headers = {"Authorization": f"Bearer {self.key}"}
        if self.uses_idempotency_key:
            headers["Idempotency-Key"] = record.path
        return headers


@contextlib.contextmanager
def run_load(fleet, keys, *, uses_idempotency_key=False):
    """Run two callers with GET requests and two with POST requests; yield all four."""
    callers = []
    for caller_number, (service, method) in enumerate(
        [("buscador", "GET"), ("reembolsos", "POST")] * 2
    ):
        key = keys[caller_number % len(keys)]
        options = {"service": service, "method": method}
        options["uses_idempotency_key"] = uses_idempotency_key and method == "POST"
        callers.append(Caller(fleet, f"caller-{caller_number}", key, **options))
    for caller in callers:
        caller.start()
    try:
        yield callers
    finally:
        for caller in callers:
            caller.stop()


def list_records(callers):
    return [record for caller in callers for record in caller.records]
