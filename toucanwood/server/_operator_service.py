"""Requests of operators: declaration, keys, voters and the state dump."""

import asyncio
import hashlib
import secrets
from collections.abc import Callable, Mapping
from typing import Any

import yaml
from returns.result import Failure, Result

from toucanwood.consensus import Replica
from toucanwood.declaration import Declaration
from toucanwood.feed import CatalogView, ControlClient
from toucanwood.utils import ValidationError, load_yaml
from toucanwood.verdicts import Verdict, refuse

SUBMIT_TIMEOUT_S = 5.0
# Time in seconds in which a learner must catch up. After it the operator gets an error
# and can retry.
PROMOTE_TIMEOUT_S = 30.0
PROMOTE_RETRY_S = 0.2
KEY_ID_BYTES = 6
SECRET_BYTES = 24

Response = Result[Mapping[str, Any], Verdict]


class OperatorService:
    """Execute requests of operators as commands of the replicated log."""

    def __init__(
        self,
        *,
        control: ControlClient,
        view: CatalogView,
        replica: Replica | None,
        collect_dump: Callable[[], dict[str, Any]],
    ) -> None:
        self._control = control
        self._view = view
        self._replica = replica
        self._collect_dump = collect_dump

    async def apply_declaration(
        self, text: str, *, base_revision: int, request_id: str
    ) -> Response:
        """Apply a YAML or JSON declaration to a base revision."""
        try:
            mapping, lines = load_yaml(text)
            declaration = Declaration.from_config(mapping, lines)
        except ValidationError as error:
            return Failure(refuse("declaration_invalid", str(error), status=422))
        command = {
            "kind": "apply_declaration",
            "declaration": declaration.to_config(),
            "base_revision": base_revision,
            "request_id": request_id or secrets.token_hex(16),
        }
        return await self._submit(command)

    def read_declaration(self) -> tuple[int, str]:
        """Return the revision and the declaration as YAML."""
        config = self._view.declaration.to_config()
        return self._view.revision, yaml.safe_dump(config, sort_keys=False)

    async def issue_key(self, organisation: str, *, request_id: str) -> Response:
        """Issue a key; only this response contains its secret."""
        if organisation not in self._view.declaration.organisation_by_name:
            message = f"organisation {organisation!r} is not declared"
            return Failure(refuse("organisation_unknown", message, status=404))
        key_id = secrets.token_hex(KEY_ID_BYTES)
        secret = f"{key_id}.{secrets.token_urlsafe(SECRET_BYTES)}"
        command = {
            "kind": "issue_key",
            "key_id": key_id,
            "sha256": hashlib.sha256(secret.encode()).digest(),
            "organisation": organisation,
            "request_id": request_id,
        }
        response = await self._submit(command)
        return response.map(lambda values: _add_secret(values, key_id, secret))

    async def withdraw_key(self, key_id: str, *, request_id: str) -> Response:
        """Withdraw a key permanently."""
        return await self._submit({"kind": "withdraw_key", "key_id": key_id})

    async def add_voter(self, instance_id: str) -> Response:
        """Add a control instance as a learner and promote it once it has caught up."""
        if (refusal := self._refuse_unless_leader()) is not None:
            return Failure(refusal)
        assert self._replica is not None
        added = await self._replica.add_learner(instance_id)
        if isinstance(added, Failure) and added.failure().code != "already_member":
            return added
        return await self._promote(self._replica, instance_id)

    async def remove_voter(self, instance_id: str) -> Response:
        """Remove a control instance from the voters."""
        if (refusal := self._refuse_unless_leader()) is not None:
            return Failure(refusal)
        assert self._replica is not None
        removed = await self._replica.remove(instance_id)
        return removed.map(lambda _: {"instance": instance_id, "role": "removed"})

    async def _promote(self, replica: Replica, instance_id: str) -> Response:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PROMOTE_TIMEOUT_S
        while True:
            result = await replica.promote(instance_id)
            is_retry_useful = isinstance(result, Failure) and (
                result.failure().code in ("not_caught_up", "change_in_progress")
            )
            if not is_retry_useful or loop.time() > deadline:
                return result.map(lambda _: {"instance": instance_id, "role": "voter"})
            await asyncio.sleep(PROMOTE_RETRY_S)

    def _refuse_unless_leader(self) -> Verdict | None:
        if self._replica is not None and self._replica.is_leader():
            return None
        leader = self._replica.leader() if self._replica else None
        message = f"send this request to the leader, {leader or 'which is not known'}"
        return refuse("not_leader", message, status=421)

    async def dump(self) -> Mapping[str, Any]:
        """Return the state of this instance."""
        return self._collect_dump()

    async def _submit(self, command: dict[str, Any]) -> Response:
        result = await self._control.submit(command, timeout=SUBMIT_TIMEOUT_S)
        return result.map(lambda command_result: command_result.values)


def _add_secret(
    values: Mapping[str, Any], key_id: str, secret: str
) -> Mapping[str, Any]:
    """Add the secret, unless this is a resend whose answer names an earlier key."""
    if values.get("key_id", key_id) != key_id:
        return values
    return {**values, "id": key_id, "secret": secret}
