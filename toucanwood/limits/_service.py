"""The service at the leader that answers the limiters of all entries."""

import asyncio
import math
import secrets
from collections.abc import Callable, Iterable
from typing import Any

import structlog

from toucanwood.limits._account import LEADER_TERM_S, Holder, RateAccount, TokenLease
from toucanwood.limits._handover import (
    pack_accounts,
    stretch,
    unpack_accounts,
)
from toucanwood.limits._messages import (
    GrantLeases,
    HandOverAccounts,
    LeaseGrant,
    LeaseReport,
    PushLeases,
    ReportLeases,
    pack_items,
    unpack_reports,
)
from toucanwood.peering import PeerUnavailable, Transport
from toucanwood.utils import TaskGroup

IDLE_TICK_S = 0.1
STARVED_TICK_S = 0.005
# Holders are asked for tokens at most once in this time, about one round trip.
RECALL_INTERVAL_S = 0.025
# A holder that is asked for tokens keeps what it needs for this long.
RECALL_HORIZON_S = 0.05
# A stop waits this long for the successors, a few round trips.
HAND_OVER_TIMEOUT_S = 0.5

Limits = tuple[float, float]
Push = Callable[[str, PushLeases], None]

log = structlog.get_logger()


class AccountService:
    """Own the rate accounts while this instance is the leader.

    `term` is the current term of the replicated log, in which no other instance leads
    while `is_leader` holds.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        is_leader: Callable[[], bool],
        term: Callable[[], int],
        limits_of: Callable[[str], Limits | None],
        push: Push | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock or asyncio.get_running_loop().time
        self._transport = transport
        self._is_leader = is_leader
        self._find_term = term
        self._limits_of = limits_of
        self._push = push or self._send
        self._accounts: dict[str, RateAccount] = {}
        self._recalled_at: dict[str, float] = {}
        self._epoch = ""
        self._opens_at = 0.0
        self._term: int | None = None
        self._handed_over: HandOverAccounts | None = None
        self._is_closed = False
        self._tasks = TaskGroup()
        self._starved: set[str] = set()
        self._wake = asyncio.Event()
        self._served_at = -math.inf
        self._outbox: dict[tuple[str, str], list[LeaseGrant]] = {}
        transport.register(ReportLeases, self.handle_report)
        transport.register(HandOverAccounts, self._take_hand_over)

    async def start(self) -> None:
        """Serve starved holders in the background."""
        self._tasks.start(self._run(), name="account-service")

    async def stop(self) -> None:
        """Stop serving; the accounts are lost."""
        await self._tasks.stop()

    async def hand_over(self, successors: Iterable[str]) -> None:
        """Stop granting for good and give the accounts to the possible successors."""
        now = self._clock()
        is_leading = self._check_leadership(now)
        self._is_closed = True
        if not is_leading or self._term is None:
            return
        for account in self._accounts.values():
            account.advance(now)
        packed = pack_accounts(self._accounts, now)
        message = HandOverAccounts(
            self._term, self._epoch, self._opens_at - now, packed
        )
        others = set(successors) - {self._transport.instance_id}
        calls = [self._send_hand_over(one, message) for one in sorted(others)]
        await asyncio.gather(*calls)

    async def handle_report(self, sender: str, message: ReportLeases) -> GrantLeases:
        """Take over reports and answer with the leases as they are now."""
        now = self._clock()
        if not self._check_leadership(now):
            return GrantLeases(message.incarnation)
        grants = []
        for report in unpack_reports(message.reports):
            holder = Holder(sender, message.incarnation, report.lease)
            grants.append(self._answer(holder, report, now))
        self._flush()
        opens_in = max(self._opens_at - now, 0.0)
        return GrantLeases(
            message.incarnation, self._epoch, opens_in, pack_items(grants)
        )

    def dump(self) -> dict[str, Any]:
        """Return the accounts; they are empty on an instance that does not lead."""
        return {
            "epoch": self._epoch,
            "opens_at": self._opens_at,
            "accounts": {name: one.dump() for name, one in self._accounts.items()},
        }

    def _check_leadership(self, now: float) -> bool:
        """Return whether this instance leads; start anew in each term."""
        if self._is_closed or not self._is_leader():
            return False
        term = self._find_term()
        if term != self._term:
            self._open(term, now)
        return True

    def _open(self, term: int, now: float) -> None:
        """Continue the accounts of the earlier leader, or wait for its leases to end.

        Without its accounts, new ones start empty after all earlier leases ended.
        """
        self._term = term
        self._epoch = secrets.token_hex(4)
        self._opens_at = now + LEADER_TERM_S
        self._accounts.clear()
        self._recalled_at.clear()
        self._starved.clear()
        message, self._handed_over = self._handed_over, None
        # Another leader may have granted in a term that lies between.
        if message is not None and message.term + 1 == term:
            self._adopt(message, now)
        opens_in = max(self._opens_at - now, 0.0)
        log.info("accounts_opened", epoch=self._epoch, opens_in_s=opens_in)

    def _adopt(self, message: HandOverAccounts, now: float) -> None:
        """Continue the accounts and leases under the epoch of the earlier leader."""
        self._epoch = message.epoch
        self._opens_at = now + stretch(message.opens_in)
        self._accounts = unpack_accounts(message, now)
        self._starved = {
            name for name, account in self._accounts.items() if account.is_starved
        }

    async def _send_hand_over(self, peer_id: str, message: HandOverAccounts) -> None:
        try:
            await self._transport.call(peer_id, message, timeout=HAND_OVER_TIMEOUT_S)
        except PeerUnavailable:
            log.warning("accounts_not_handed_over", peer=peer_id)

    async def _take_hand_over(
        self, sender: str, message: HandOverAccounts
    ) -> HandOverAccounts:
        if self._handed_over is None or message.term > self._handed_over.term:
            self._handed_over = message
        return HandOverAccounts(message.term)

    def _answer(self, holder: Holder, report: LeaseReport, now: float) -> LeaseGrant:
        account = self._find_account(report.organisation, now)
        account.advance(now)
        is_known = holder in account.leases
        if report.epoch not in ("", self._epoch) or (report.epoch and not is_known):
            return LeaseGrant(
                organisation=report.organisation, lease=report.lease, is_closed=True
            )
        lease = self._update(account, holder, report, now)
        self._serve(report.organisation, account, now, asking=lease)
        return describe_lease(report.organisation, lease)

    def _update(
        self, account: RateAccount, holder: Holder, report: LeaseReport, now: float
    ) -> TokenLease:
        lease = account.grant(holder, 0, now)
        account.report(
            holder,
            spent=report.spent,
            returned=report.returned,
            share_version=report.share_version,
            now=now,
        )
        lease.waiting = report.waiting
        lease.demand = report.demand
        return account.grant(holder, report.wanted, now)

    def _find_account(self, organisation: str, now: float) -> RateAccount:
        rate, burst = self._limits_of(organisation) or (0.0, 0.0)
        account = self._accounts.get(organisation)
        if account is None:
            # Nothing was granted in this epoch, so it has minted since the opening.
            account = RateAccount(rate=rate, burst=burst, opens_at=self._opens_at)
            self._accounts[organisation] = account
        account.configure(rate, burst, now)
        return account

    def _serve(
        self,
        organisation: str,
        account: RateAccount,
        now: float,
        *,
        asking: TokenLease | None = None,
    ) -> None:
        """Grant to starved holders; the answer to `asking` is not pushed."""
        changed = account.serve(now)
        self._queue(organisation, (one for one in changed if one is not asking))
        if not account.is_starved:
            self._starved.discard(organisation)
            return
        self._starved.add(organisation)
        self._wake.set()
        recalled_at = self._recalled_at.get(organisation, -math.inf)
        if now - recalled_at >= RECALL_INTERVAL_S:
            self._recalled_at[organisation] = now
            self._recall(organisation, account)

    def _recall(self, organisation: str, account: RateAccount) -> None:
        recalled = account.recall()
        for lease in recalled:
            lease.limit = math.ceil(lease.demand * RECALL_HORIZON_S)
        self._queue(organisation, recalled)

    def _queue(self, organisation: str, leases: Iterable[TokenLease]) -> None:
        for lease in leases:
            key = (lease.holder.instance_id, lease.holder.incarnation)
            grants = self._outbox.setdefault(key, [])
            grants.append(describe_lease(organisation, lease))

    def _flush(self) -> None:
        """Push the queued grants, one message per holder."""
        outbox, self._outbox = self._outbox, {}
        for (instance_id, incarnation), grants in outbox.items():
            message = PushLeases(incarnation, self._epoch, pack_items(grants))
            self._push(instance_id, message)

    def _send(self, peer_id: str, message: PushLeases) -> None:
        self._transport.send(peer_id, message)

    async def _run(self) -> None:
        while True:
            self._serve_starved(self._clock())
            await self._pause()

    async def _pause(self) -> None:
        if self._starved:
            await asyncio.sleep(STARVED_TICK_S)
            return
        self._wake.clear()
        try:
            async with asyncio.timeout(IDLE_TICK_S):
                await self._wake.wait()
        except TimeoutError:
            return

    def _serve_starved(self, now: float) -> None:
        """Serve the starved accounts, and all of them at the idle interval."""
        if not self._check_leadership(now):
            return
        names = set(self._starved)
        if now - self._served_at >= IDLE_TICK_S:
            self._served_at = now
            names = set(self._accounts)
        for organisation in sorted(names):
            account = self._find_account(organisation, now)
            self._serve(organisation, account, now)
        self._flush()


def describe_lease(organisation: str, lease: TokenLease) -> LeaseGrant:
    """Return what the holder must know about its lease."""
    return LeaseGrant(
        organisation=organisation,
        lease=lease.holder.lease,
        granted=lease.granted,
        limit=lease.limit,
        share_version=lease.offered.version,
        share_rate=lease.offered.rate,
        share_capacity=lease.offered.capacity,
    )
