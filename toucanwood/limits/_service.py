"""The service at the leader that answers the limiters of all entries."""

import asyncio
import math
import secrets
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import structlog

from toucanwood.limits._account import LEADER_TERM_S, RateAccount, TokenLease
from toucanwood.limits._handover import Inheritance, pack_accounts
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
from toucanwood.peering import Transport
from toucanwood.utils import TaskGroup

# Another leader needs at least 0.6 s to take over and lose the lead again, so a
# gap this short between two positive checks proves that there was none.
MAX_CHECK_GAP_S = 0.5
IDLE_TICK_S = 0.1
STARVED_TICK_S = 0.005
# Holders are asked for tokens at most once in this time, about one round trip.
RECALL_INTERVAL_S = 0.025
# A holder that is asked for tokens keeps what it needs for this long.
RECALL_HORIZON_S = 0.05

Limits = tuple[float, float]
Push = Callable[[str, PushLeases], None]

log = structlog.get_logger()


@attrs.frozen
class Holder:
    """Identify one lease of one run of an entry."""

    instance_id: str
    incarnation: str
    lease: int


class AccountService:
    """Own the rate accounts while this instance is the leader."""

    def __init__(
        self,
        *,
        transport: Transport,
        is_leader: Callable[[], bool],
        limits_of: Callable[[str], Limits | None],
        term: Callable[[], int] = lambda: 0,
        push: Push | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock or asyncio.get_running_loop().time
        self._transport = transport
        self._is_leader = is_leader
        self._limits_of = limits_of
        self._term = term
        self._inheritance: Inheritance | None = None
        self._is_closed = False
        self._push = push or self._send
        self._accounts: dict[str, RateAccount] = {}
        self._recalled_at: dict[str, float] = {}
        self._epoch = ""
        self._opens_at = 0.0
        self._checked_at = -math.inf
        self._tasks = TaskGroup()
        self._starved: set[str] = set()
        self._wake = asyncio.Event()
        self._served_at = -math.inf
        self._outbox: dict[tuple[str, str], list[LeaseGrant]] = {}
        transport.register(ReportLeases, self.receive)
        transport.register(HandOverAccounts, self._inherit)

    async def start(self) -> None:
        """Serve starved holders in the background."""
        self._tasks.start(self._run(), name="account-service")

    async def stop(self) -> None:
        """Stop serving; the accounts are lost."""
        await self._tasks.stop()

    async def receive(self, sender: str, message: ReportLeases) -> GrantLeases:
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

    def hand_over(self, successors: Iterable[str]) -> None:
        """Stop granting for good and send the accounts to possible next leaders."""
        now = self._clock()
        is_leading = self._check_leadership(now)
        self._is_closed = True
        if not is_leading:
            return
        for account in self._accounts.values():
            account.advance(now)
        message = pack_accounts(
            self._accounts, term=self._term(), opens_in=max(self._opens_at - now, 0.0)
        )
        for successor in successors:
            if successor != self._transport.instance_id:
                self._transport.send(successor, message)

    async def _inherit(self, sender: str, message: HandOverAccounts) -> None:
        self._inheritance = Inheritance(message, self._clock())

    def dump(self) -> dict[str, Any]:
        """Return the accounts; they are empty on an instance that does not lead."""
        return {
            "epoch": self._epoch,
            "opens_at": self._opens_at,
            "accounts": {name: one.dump() for name, one in self._accounts.items()},
        }

    def _check_leadership(self, now: float) -> bool:
        """Return whether this instance leads; start anew after another leader."""
        if self._is_closed or not self._is_leader():
            return False
        if now - self._checked_at > MAX_CHECK_GAP_S:
            self._open(now)
        self._checked_at = now
        return True

    def _open(self, now: float) -> None:
        """Start with the accounts that the last leader handed over.

        Without them, start empty after all leases of earlier leaders ended.
        """
        self._epoch = secrets.token_hex(4)
        self._opens_at = now + LEADER_TERM_S
        self._accounts.clear()
        self._recalled_at.clear()
        self._starved.clear()
        inheritance, self._inheritance = self._inheritance, None
        if inheritance is not None and inheritance.is_for(self._term()):
            self._opens_at = max(now, inheritance.opens_at)
            self._accounts = inheritance.build_accounts(now)
        opens_in = round(self._opens_at - now, 3)
        log.info("accounts_opened", epoch=self._epoch, opens_in_s=opens_in)

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
