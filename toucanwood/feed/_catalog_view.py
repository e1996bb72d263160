"""Local read-only copy of the published catalog state."""

import hashlib
import hmac
import math
from collections.abc import Callable, Iterable
from typing import Any

import msgpack
import structlog
from returns.result import Failure, Result, Success

from toucanwood.declaration import Declaration
from toucanwood.state import KeyRecord, PublishedState
from toucanwood.utils import ValidationError
from toucanwood.verdicts import Verdict, refuse

# Age of the state from which keys are not checked any more. A withdrawal must take
# effect everywhere within 5 s; the difference of 1 s is left for queued requests.
MAX_KEY_AGE_S = 4.0
STALE_RETRY_AFTER_S = 1.0
INDEX_PREFIX_BYTES = 8

log = structlog.get_logger()


class CatalogView:
    """Hold the newest known state and the time at which it was confirmed as current.

    `created_at` and every `now` are readings of the monotonic clock of this instance
    in seconds. The view is not ready until its state is confirmed for a time of at
    least `created_at`: an earlier run of this instance may have served any state that
    was committed until then, and the view must not serve an older one.
    """

    def __init__(self, *, created_at: float) -> None:
        self.declaration = Declaration()
        self._created_at = created_at
        self._confirmed_at = -math.inf
        self._state = PublishedState()
        # Withdrawals received by gossip that the published state does not include yet.
        self._unlogged_withdrawals: set[str] = set()
        self._key_ids_by_prefix: dict[bytes, list[str]] = {}
        self._declared_revision = 0
        self._listeners: list[Callable[[], None]] = []

    @property
    def revision(self) -> int:
        """Return the revision of the declaration; 0 if there is none yet."""
        return self._state.revision

    @property
    def version(self) -> int:
        """Return the number of published changes that the state includes."""
        return self._state.version

    @property
    def is_ready(self) -> bool:
        """Return whether the state was confirmed since the view was created."""
        return self._confirmed_at >= self._created_at

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the state."""
        self._listeners.append(listener)

    def get_age(self, now: float) -> float:
        """Return the time in s since the state was confirmed; inf if not ready."""
        return now - self._confirmed_at if self.is_ready else math.inf

    def weights(self, service: str, home_region: str) -> dict[str, float]:
        """Return the weights of the serving regions; empty if none are set."""
        return dict(self._state.weights.get((service, home_region), {}))

    def authenticate(self, key: str, now: float) -> Result[str, Verdict]:
        """Return the organisation of a key.

        Refuses with 503 `state_stale` if this view may lack a withdrawal, and with 401
        `key_unknown` if the key is unknown or withdrawn.
        """
        if self.get_age(now) >= MAX_KEY_AGE_S:
            return Failure(
                refuse(
                    "state_stale",
                    "the state of keys is not known to be current",
                    status=503,
                    retry_after=STALE_RETRY_AFTER_S,
                )
            )
        organisation = self._find_organisation(key)
        if organisation is None:
            return Failure(refuse("key_unknown", "the key is not valid", status=401))
        return Success(organisation)

    def is_withdrawn(self, key_id: str) -> bool:
        """Return whether a key is known to be withdrawn."""
        return key_id in self._state.withdrawn or key_id in self._unlogged_withdrawals

    def withdraw(self, key_ids: Iterable[str]) -> list[str]:
        """Withdraw keys before the log has them; return the ids that are new."""
        new = [key_id for key_id in key_ids if not self.is_withdrawn(key_id)]
        self._unlogged_withdrawals.update(new)
        return new

    def apply_changes(self, base_version: int, changes: list[bytes]) -> list[str]:
        """Apply the changes that are new; return the ids of newly withdrawn keys.

        Changes whose `base_version` is later than the version of this view are
        ignored, because those in between are missing.
        """
        known = self.version - base_version
        if known < 0 or known >= len(changes):
            return []
        withdrawn = []
        for encoded in changes[known:]:
            change = msgpack.unpackb(encoded, strict_map_key=False)
            self._state.apply_change(change)
            withdrawn += self._process_change(change)
        self._notify_listeners()
        return withdrawn

    def load(self, state: PublishedState) -> bool:
        """Replace the state if `state` is newer; return whether it is."""
        if state.version <= self.version:
            return False
        self._state = state
        self._unlogged_withdrawals -= state.withdrawn
        self._key_ids_by_prefix = {}
        for key_id, record in state.keys.items():
            self._index_key(key_id, record)
        self._notify_listeners()
        return True

    def confirm(self, version: int, confirmed_at: float) -> None:
        """Record that `version` was current at `confirmed_at`.

        An earlier time changes nothing. A view that has not reached `version` is not
        confirmed.
        """
        if version <= self.version:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def dump(self) -> dict[str, Any]:
        """Return the revisions, the sizes and the time of the last confirmation."""
        return {
            "revision": self.revision,
            "version": self.version,
            "declared_revision": self._declared_revision,
            "proven": self._confirmed_at if self.is_ready else None,
            "keys": len(self._state.keys),
            "withdrawn": len(self._state.withdrawn),
            "early_withdrawals": len(self._unlogged_withdrawals),
        }

    def _find_organisation(self, key: str) -> str | None:
        digest = hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()
        found = None
        for key_id in self._key_ids_by_prefix.get(digest[:INDEX_PREFIX_BYTES], ()):
            record = self._state.keys[key_id]
            is_equal = hmac.compare_digest(record.sha256, digest)
            if is_equal and not self.is_withdrawn(key_id):
                found = record.organisation
        return found

    def _process_change(self, change: list[Any]) -> list[str]:
        kind, key_id = change[0], change[1]
        if kind == "key":
            self._index_key(key_id, self._state.keys[key_id])
        if kind != "withdrawal":
            return []
        is_new = key_id not in self._unlogged_withdrawals
        self._unlogged_withdrawals.discard(key_id)
        return [key_id] if is_new else []

    def _index_key(self, key_id: str, record: KeyRecord) -> None:
        prefix = record.sha256[:INDEX_PREFIX_BYTES]
        self._key_ids_by_prefix.setdefault(prefix, []).append(key_id)

    def _notify_listeners(self) -> None:
        self._build_declaration()
        for listener in self._listeners:
            listener()

    def _build_declaration(self) -> None:
        if self._declared_revision == self.revision:
            return
        try:
            self.declaration = Declaration.from_config(self._state.declaration)
        except ValidationError as error:
            # A newer software version accepted fields that this one does not know. The
            # last declaration that could be parsed stays in use.
            reason = str(error)
            log.error("declaration_unknown", revision=self.revision, reason=reason)
            return
        self._declared_revision = self.revision
