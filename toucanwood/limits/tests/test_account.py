"""Tests of the rate account at the leader and of the leases at their holder."""

from toucanwood.limits import RateAccount
from toucanwood.limits._account import LEASE_TERM_S
from toucanwood.limits._held_leases import HeldLeases
from toucanwood.limits._messages import LeaseGrant


def build_account(rate=10.0, burst=20.0, opens_at=0.0):
    return RateAccount(rate=rate, burst=burst, opens_at=opens_at)


def lease_tokens(account, count, now):
    """Lease tokens to holder "a", which has as many waiting requests."""
    account.grant("a", 0, now).waiting = count
    return account.grant("a", count, now)


def build_leases(epoch="e", granted=5, sent_at=0.0):
    leases = HeldLeases(organisation="o")
    grant = LeaseGrant(organisation="o", lease=1, granted=granted)
    leases.apply(grant, epoch, sent_at=sent_at, now=sent_at)
    return leases


def spend_all(leases, now):
    count = 0
    while leases.take(now):
        count += 1
    return count


def test_refill_stays_within_the_rate_by_a_clock_that_is_1_percent_slower():
    # Guards against a leader with a fast clock that adds tokens above the rate.
    account = build_account(rate=100.0, burst=1e6)
    account.advance(1010.0)
    assert account.balance <= 100.0 * 1000.0
    assert account.balance >= 0.99 * 100.0 * 1010.0


def test_balance_and_outstanding_stay_within_the_burst():
    # Guards against a refill that replaces leased tokens before their holder has
    # reported them as spent.
    account = build_account()
    lease = lease_tokens(account, 10, 100.0)
    assert lease.granted == 10
    now = 100.0 + 0.75 * LEASE_TERM_S
    account.advance(now)
    assert (account.balance, account.outstanding) == (10.0, 10)
    for _ in range(2):
        account.apply_report("a", spent=4, returned=2, now=now)
        assert (account.balance, account.outstanding) == (12.0, 4)
    account.apply_report("a", spent=3, returned=1, now=now)
    assert account.outstanding == 4


def test_lease_expires_at_the_leader_after_it_has_ended_at_any_holder():
    # Guards against tokens that are replaced while a holder with a slow clock can still
    # spend them.
    account = build_account()
    lease_tokens(account, 10, 100.0)
    # The holder's clock may be 1% slower than the leader's.
    account.advance(100.0 + LEASE_TERM_S * 1.01 / 0.99)
    assert account.outstanding == 10
    account.advance(100.0 + 1.125 * LEASE_TERM_S)
    assert account.outstanding == 0
    assert account.balance < 20.0


def test_lowered_burst_recalls_outstanding_tokens():
    # Guards against holders that keep tokens of an earlier, higher burst beyond a lease
    # term.
    account = build_account()
    lease_tokens(account, 10, 100.0)
    account.configure(10.0, 4.0, 100.0)
    assert account.balance == 0
    lease = account.grant("a", 10, 100.1)
    assert lease.granted == 10 and lease.limit == 4
    account.apply_report("a", spent=0, returned=6, now=100.2)
    assert account.balance + account.outstanding <= 4.0


def test_share_stays_reserved_until_the_holder_confirms_a_smaller_one():
    # Guards against a share of the rate that two holders use at the same time.
    account = build_account(rate=1000.0, burst=20.0)
    for holder, demand in (("a", 500.0), ("b", 0.0)):
        account.grant(holder, 0, 10.0).demand = demand
    account.distribute(10.0)
    account.apply_report("a", spent=0, returned=0, share_version=1, now=10.0)
    account.apply_report("b", spent=0, returned=0, share_version=1, now=10.0)
    account.leases["a"].demand, account.leases["b"].demand = 0.0, 500.0
    for _ in range(3):
        account.distribute(10.1)
        assert sum(lease.rate for lease in account.leases.values()) <= 1000.0
        assert account.balance + account.outstanding <= 20.0 + 1e-9
        assert account.leases["b"].rate < 100.0
    account.apply_report("a", spent=0, returned=0, share_version=2, now=10.2)
    account.distribute(10.2)
    assert account.leases["b"].rate > 900.0
    assert sum(lease.rate for lease in account.leases.values()) <= 1000.0


def test_account_grants_nothing_before_it_opens():
    # Guards against a new leader that grants tokens while leases of the previous leader
    # are still valid.
    for rate in (10.0, 1000.0):
        account = build_account(rate=rate, opens_at=50.0)
        account.grant("a", 10, 49.9).demand = 5.0
        assert account.distribute(49.9) == []
        assert account.balance + account.outstanding == 0


def test_lease_ends_at_its_holder_one_term_after_the_report_was_sent():
    # Guards against a late answer that extends a lease beyond its end at the leader.
    leases = HeldLeases(organisation="o")
    grant = LeaseGrant(organisation="o", lease=1, granted=5)
    leases.apply(grant, "e", sent_at=0.0, now=0.9 * LEASE_TERM_S)
    assert leases.take(LEASE_TERM_S - 0.01) is not None
    assert spend_all(leases, LEASE_TERM_S) == 0
    assert leases.current.number == 2


def test_grants_of_another_epoch_lease_or_time_are_ignored():
    # Guards against a lease that mixes the totals of two leaders.
    for epoch, lease, sent_at, now in (
        ("other", 1, 1.0, 1.0),
        ("e", 2, 1.0, 1.0),
        ("other", 1, None, 1.0),
    ):
        leases = build_leases()
        grant = LeaseGrant(organisation="o", lease=lease, granted=50)
        leases.apply(grant, epoch, sent_at=sent_at, now=now)
        assert spend_all(leases, now) == 5
    late = HeldLeases(organisation="o")
    grant = LeaseGrant(organisation="o", lease=1, granted=50)
    late.apply(grant, "e", sent_at=0.0, now=LEASE_TERM_S)
    assert spend_all(late, LEASE_TERM_S) == 0


def test_duplicate_and_reordered_grants_change_nothing():
    # Guards against a duplicate message that is counted as a second grant.
    leases = build_leases(granted=5)
    for granted in (9, 5, 9):
        grant = LeaseGrant(organisation="o", lease=1, granted=granted)
        leases.apply(grant, "e", sent_at=0.0, now=1.0)
    assert spend_all(leases, 1.0) == 9


def test_tokens_of_an_earlier_leader_end_without_renewal():
    # Guards against a new leader whose answers extend leases that it does not know.
    leases = build_leases()
    closed = LeaseGrant(organisation="o", lease=1, is_closed=True)
    late = LEASE_TERM_S - 1.0
    leases.apply(closed, "new", sent_at=late, now=late)
    grant = LeaseGrant(organisation="o", lease=2, granted=1)
    leases.apply(grant, "new", sent_at=late, now=late)
    assert leases.take(LEASE_TERM_S - 0.1) is not None
    assert spend_all(leases, LEASE_TERM_S + 0.1) == 1


def test_idle_holders_keep_a_quarter_of_the_burst_together():
    # Guards against idle entries that keep most tokens of the burst while another entry
    # needs them. A quarter of the burst of 20 gives each of four idle holders 1 whole
    # token.
    account = build_account()
    for holder in "abcd":
        account.grant(holder, 20, 100.0)
    account.grant("a", 20, 100.0)
    limits = [account.grant(holder, 0, 100.0).limit for holder in "abcd"]
    assert limits == [1, 1, 1, 1]
    account.leases["d"].waiting = 30
    assert {lease.holder for lease in account.select_recalled()} == {"a", "b", "c"}
