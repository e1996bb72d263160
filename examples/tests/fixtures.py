"""Helpers for end-to-end tests that run a whole fleet as processes on loopback."""

import contextlib
import http.client
import itertools
import json
import os
import socket
import sys
import time

from examples.fleet import Fleet
from examples.write_deployments import DEPLOYMENTS

PROGRAM = [sys.executable, "-m", "toucanwood"]
FIRST_PORT = 15000
END_PORT = 32000
WAIT_TIMEOUT_S = 20.0
SERVICES = [targets.service for targets in DEPLOYMENTS[0].targets]


def find_free_ports(count):
    """Return free ports below the ephemeral range, which outgoing connections use."""
    ports = []
    candidates = itertools.cycle(range(FIRST_PORT, END_PORT))
    start = FIRST_PORT + os.getpid() * count % (END_PORT - FIRST_PORT)
    for port in itertools.islice(candidates, start - FIRST_PORT, None):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == count:
            return ports


@contextlib.contextmanager
def run_fleet(deployment=DEPLOYMENTS[0], **changed_settings):
    fleet = Fleet(deployment, program=PROGRAM, ports=find_free_ports(16))
    for settings in fleet.settings.values():
        settings.update(changed_settings)
    try:
        fleet.start()
        fleet.keys = {}
        for entry, service in itertools.product(fleet.settings, SERVICES):
            wait_for_service(fleet, entry, service)
        yield fleet
    finally:
        fleet.exit_statuses = fleet.stop()
        fleet.remove_files()


def issue_key(fleet, organisation):
    """Return the API key of an organisation; issue it on first use."""
    if organisation not in fleet.keys:
        issued = json.loads(fleet.run_until_success(["keys", "issue", organisation]))
        fleet.keys[organisation] = issued
    return fleet.keys[organisation]


def send(
    fleet, entry, method, path, *, key=None, body=None, connection=None, **extra_headers
):
    """Send a request and return the status, headers and body of the response."""
    key = key or issue_key(fleet, "large-1")["secret"]
    headers = {"Authorization": f"Bearer {key}", **extra_headers}
    connection = connection or connect(fleet, entry)
    connection.request(method, path, body=body, headers=headers)
    response = connection.getresponse()
    return response.status, response.headers, response.read()


def connect(fleet, entry):
    return http.client.HTTPConnection(
        fleet.settings[entry]["http"], timeout=WAIT_TIMEOUT_S
    )


def wait_for_service(fleet, entry, service):
    """Wait until an entry serves a service; report the last responses on a timeout."""
    responses = []

    def is_served():
        status, _, body = send(fleet, entry, "GET", f"/{service}/x")
        responses.append((status, body[:200]))
        return status == 200

    try:
        wait_for(is_served)
    except AssertionError as error:
        message = f"{entry} does not serve {service}; last responses: {responses[-3:]}"
        raise AssertionError(message) from error


def wait_for(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if condition():
                return
        time.sleep(0.05)
    raise AssertionError("the condition did not become true in time")


def read_error(body):
    return json.loads(body)["error"]


def kill_leader(fleet):
    kill(fleet, find_leader(fleet))


def find_leader(fleet, *, instance="norte-1-a"):
    return call_operator_api(fleet, instance, "GET", "dump")[1]["subscriber"]["leader"]


def kill(fleet, name):
    process = fleet.processes.pop(name)
    process.kill()
    process.wait()


def call_operator_api(fleet, entry, method, path, *, body=None, **headers):
    """Send a request to the operator API and return its status and JSON body."""
    token = fleet.environment["TOUCANWOOD_OPERATOR_TOKEN"]
    path = f"/.toucanwood/{path}"
    options = {"key": token, "body": body, **headers}
    status, _, content = send(fleet, entry, method, path, **options)
    return status, json.loads(content)


def put_declaration(fleet, entry, text, revision, request_id):
    headers = {"If-Match": str(revision), "Toucanwood-Request-Id": request_id}
    return call_operator_api(fleet, entry, "PUT", "declaration", body=text, **headers)


def read_declaration(fleet, entry):
    return call_operator_api(fleet, entry, "GET", "declaration")[1]["text"]


def read_declaration_revision(fleet, entry):
    return call_operator_api(fleet, entry, "GET", "declaration")[1]["revision"]
