"""Tests of the HTTP API of the entry itself."""

import asyncio
import json

import aiohttp

from toucanwood.entry.testing import (
    OPERATOR_TOKEN,
    TARGET_TOKEN,
    Harness,
    build_declaration,
    build_service,
)

ANNOUNCEMENT = {
    "id": "t1",
    "service": "buscador",
    "address": "127.0.0.1:1",
    "data_centre": "norte-1",
    "slots": 6,
    "load": 0.5,
}


def run_with_entry(check):
    async def main():
        declaration = build_declaration(build_service("buscador", "/buscador/"))
        async with Harness(declaration, {}) as harness:
            base = f"http://{harness.entry.address}/.toucanwood/"
            async with aiohttp.ClientSession(base) as session:
                await check(harness, session)

    asyncio.run(main())


def bearer_headers(token, **headers):
    return {"Authorization": f"Bearer {token}", **headers}


def test_lookup_returns_entries_and_their_time_to_live():
    # Guards against lookup responses that name no entry or are cached for too long.
    async def check(harness, session):
        async with session.get("lookup?service=buscador") as response:
            body = await response.json()
            assert body["entries"][0]["address"] == harness.entry.address
            assert body["ttl"] == 2.0
            assert response.headers["Cache-Control"] == "max-age=2"
        async with session.get("lookup?service=other") as response:
            assert response.status == 404
            assert response.headers["Toucanwood-Verdict"] == "not-run"

    run_with_entry(check)


def test_target_requests_require_the_target_token():
    # Guards against targets that are registered or removed by an unauthorised client.
    async def check(harness, session):
        for headers in ({}, bearer_headers("wrong"), bearer_headers(OPERATOR_TOKEN)):
            async with session.post(
                "targets", json=ANNOUNCEMENT, headers=headers
            ) as refused:
                assert refused.status == 401
            async with session.delete("targets/t1", headers=headers) as refused:
                assert refused.status == 401
        assert harness.dispatcher.announced == []
        token = bearer_headers(TARGET_TOKEN)
        async with session.post(
            "targets", json=ANNOUNCEMENT, headers=token
        ) as accepted:
            assert await accepted.json() == {"lease": 2.0}
        assert harness.dispatcher.announced[0].slots == 6
        async with session.delete("targets/t1", headers=token) as left:
            assert left.status == 200
        assert harness.dispatcher.targets == {}

    run_with_entry(check)


def test_refusal_of_an_announcement_names_the_invalid_field():
    # Guards against targets that are registered with invalid values.
    async def check(harness, session):
        invalid_fields = {"slots": 0, "address": "nowhere", "load": -1, "id": ""}
        for name, value in invalid_fields.items():
            body = json.dumps({**ANNOUNCEMENT, name: value})
            headers = bearer_headers(TARGET_TOKEN)
            async with session.post("targets", data=body, headers=headers) as refused:
                assert refused.status == 400
                assert name in (await refused.json())["error"]["message"]
        assert harness.dispatcher.announced == []

    run_with_entry(check)


def test_operator_requests_require_the_operator_token():
    # Guards against access to the state by targets and unauthorised clients.
    async def check(harness, session):
        requests = [
            ("GET", "declaration"),
            ("PUT", "declaration"),
            ("POST", "keys"),
            ("DELETE", "keys/k1"),
            ("GET", "dump"),
            ("GET", "explain/r1"),
        ]
        for method, path in requests:
            for headers in ({}, bearer_headers("wrong"), bearer_headers(TARGET_TOKEN)):
                async with session.request(method, path, headers=headers) as refused:
                    assert refused.status == 401, (method, path)
        assert harness.operators.withdrawn == []
        assert harness.operators.revision == 1

    run_with_entry(check)


def test_declaration_is_applied_only_to_its_base_revision():
    # Guards against an operator overwriting a change that they have not seen.
    async def check(harness, session):
        for base, status in (("1", 200), ("1", 409), ("", 428)):
            headers = bearer_headers(
                OPERATOR_TOKEN, **({"If-Match": base} if base else {})
            )
            async with session.put("declaration", data="x: 1", headers=headers) as put:
                assert put.status == status
        async with session.get(
            "declaration", headers=bearer_headers(OPERATOR_TOKEN)
        ) as read:
            assert (await read.json()) == {"revision": 2, "text": "x: 1"}

    run_with_entry(check)
