"""Handling of the replication messages of a leader by a follower."""

import asyncio

import attrs

from toucanwood.consensus._core import CALL_TIMEOUT_S, RaftCore
from toucanwood.consensus._log import Entry
from toucanwood.consensus._members import Members
from toucanwood.consensus._messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
)
from toucanwood.consensus._storage import Snapshot

# Time that a follower waits for its disk before it answers the leader.
MAX_SYNC_WAIT_S = CALL_TIMEOUT_S / 2


@attrs.define
class _SnapshotDownload:
    """The chunks of a snapshot that were received so far."""

    # Sender, term and last index of the snapshot.
    source: tuple[str, int, int]
    chunks: list[bytes] = attrs.field(factory=list)
    size: int = 0


class ReplicationReceiver:
    """Store the entries and snapshots that the leader sends."""

    def __init__(self, core: RaftCore) -> None:
        self._core = core
        self._download: _SnapshotDownload | None = None
        core.transport.register(AppendEntries, self._receive_entries)
        core.transport.register(InstallSnapshot, self._receive_chunk)

    async def _receive_entries(
        self, sender: str, request: AppendEntries
    ) -> AppendReply | None:
        if self._core.is_closed:
            return None
        return await self._core.run_transition(
            lambda: self._accept_entries(sender, request), name="store-entries"
        )

    async def _accept_entries(self, sender: str, request: AppendEntries) -> AppendReply:
        if not await self._accept_leader(sender, request):
            return self._build_reply(success=False, index=0)
        return await self._store_entries(request)

    async def _receive_chunk(
        self, sender: str, request: InstallSnapshot
    ) -> AppendReply | None:
        if self._core.is_closed:
            return None
        return await self._core.run_transition(
            lambda: self._accept_chunk(sender, request), name="store-snapshot"
        )

    async def _accept_chunk(self, sender: str, request: InstallSnapshot) -> AppendReply:
        if not await self._accept_leader(sender, request):
            return self._build_reply(success=False, index=0)
        return await self._store_chunk(sender, request)

    async def _accept_leader(
        self, sender: str, request: AppendEntries | InstallSnapshot
    ) -> bool:
        """Return whether the sender leads in the current term or a higher one."""
        core = self._core
        if request.target != core.incarnation or request.term < core.term:
            return False
        if request.term > core.term:
            await core.enter_term(request.term, None)
        core.record_leader_contact(sender)
        return True

    async def _store_entries(self, request: AppendEntries) -> AppendReply:
        core = self._core
        log = core.storage.log
        if request.previous_index < log.base_index:
            # Entries up to the base index are committed, so they match the leader's.
            return self._build_reply(success=True, index=core.commit_index)
        if log.term_at(request.previous_index) != request.previous_term:
            hint = max(
                log.find_conflict_hint(request.previous_index), core.commit_index
            )
            return self._build_reply(success=False, index=hint)
        for packed in request.entries:
            self._store_entry(Entry(*packed))
        await self._sync_with_timeout()
        end = request.previous_index + len(request.entries)
        matched = min(end, core.storage.synced_index)
        core.commit(min(request.commit_index, matched))
        return self._build_reply(success=True, index=matched)

    async def _sync_with_timeout(self) -> None:
        """Wait for the disk, but not until the call of the leader times out.

        Otherwise followers with slow disks would cost the leader its lease.
        """
        try:
            await asyncio.wait_for(self._core.storage.sync(), MAX_SYNC_WAIT_S)
        except TimeoutError:
            return

    def _store_entry(self, entry: Entry) -> None:
        core = self._core
        term = core.storage.log.term_at(entry.index)
        if term == entry.term:
            return
        if term is not None:
            core.truncate_from(entry.index)
        core.append(entry)

    async def _store_chunk(self, sender: str, request: InstallSnapshot) -> AppendReply:
        core = self._core
        if request.index <= core.commit_index and core.members.by_id:
            return self._build_reply(success=True, index=core.commit_index)
        source = (sender, request.term, request.index)
        if request.offset == 0:
            self._download = _SnapshotDownload(source)
        download = self._download
        if download is None or download.source != source:
            return self._build_reply(success=False, index=core.commit_index)
        if request.offset == download.size:
            download.chunks.append(request.data)
            download.size += len(request.data)
        elif request.offset + len(request.data) != download.size:
            return self._build_reply(success=False, index=core.commit_index)
        if request.is_last:
            await self._install(request, b"".join(download.chunks))
        return self._build_reply(success=True, index=core.commit_index)

    async def _install(self, request: InstallSnapshot, data: bytes) -> None:
        self._download = None
        members = Members.unpack(request.members)
        snapshot = Snapshot(request.index, request.snapshot_term, members, data)
        await self._core.install(snapshot)

    def _build_reply(self, *, success: bool, index: int) -> AppendReply:
        core = self._core
        return AppendReply(core.term, core.incarnation, success, index)
