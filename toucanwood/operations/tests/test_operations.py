"""Tests of at-most-once execution with a fault in each submission."""

import asyncio
import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from toucanwood.operations import OperationClient, OperationHandle, RecordedResponse
from toucanwood.state import Catalog, encode_command
from toucanwood.utils import run_virtual
from toucanwood.verdicts import Execution, build_uncertain_verdict, refuse

RESPONSE = RecordedResponse(status=201, headers=[["X-Id", "7"]], body=b"done")
FAULTS = ("none", "lost", "unanswered", "late", "refused", "unreachable", "slow")


class FaultyCatalog:
    """Submit to a real catalog; `faults` has one fault per submission."""

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.refused_kinds = set()
        self.catalog = Catalog()
        self.commands = []

    async def submit(self, command, *, timeout):
        fault = self.faults.pop(0) if self.faults else "none"
        if command["kind"] in self.refused_kinds:
            fault = "refused"
        self.commands.append(command)
        if fault == "refused":
            return Failure(refuse("no_leader", "no leader", status=503))
        if fault == "unreachable":
            raise OSError("connection refused")
        if fault == "late":
            asyncio.get_running_loop().call_later(timeout * 3, self.apply, command)
        if fault in ("none", "slow", "unanswered"):
            await asyncio.sleep(0.4 if fault == "slow" else 0.01)
            command_result = self.apply(command)
        if fault in ("none", "slow"):
            return (
                Success(command_result)
                if command_result.is_accepted
                else Failure(command_result.to_verdict())
            )
        await asyncio.sleep(timeout)
        return Failure(
            build_uncertain_verdict("no_answer", "the result was lost", status=504)
        )

    def apply(self, command):
        return self.catalog.apply(len(self.commands), encode_command(command))


class Caller:
    """Send requests as an entry does and count the dispatches per key."""

    def __init__(self, catalog):
        self.entries = [OperationClient(submitter=catalog) for _ in range(2)]
        self.dispatch_counts = {}

    async def send(self, entry, key="k", *, max_wait=1.0, end="finish", digest=b"d"):
        operations = self.entries[entry]
        deadline = asyncio.get_running_loop().time() + max_wait
        result = await operations.begin("o", key, digest, deadline=deadline)
        if isinstance(result, Failure) or isinstance(result.unwrap(), RecordedResponse):
            return result
        handle = result.unwrap()
        if end == "release":
            await operations.release(handle)
            return Failure(refuse("shed", "the target shed it", status=503))
        self.dispatch_counts[key] = self.dispatch_counts.get(key, 0) + 1
        await asyncio.sleep(0.05)
        if end == "abandon":
            operations.abandon(handle)
            return Failure(
                build_uncertain_verdict("cut", "connection lost", status=502)
            )
        await operations.finish(handle, RESPONSE)
        return Success(RESPONSE)

    def check(self, results):
        """Check that no key was dispatched twice and that responses are correct."""
        assert all(count == 1 for count in self.dispatch_counts.values()), (
            self.dispatch_counts
        )
        for result in results:
            if isinstance(result, Success):
                assert result.unwrap() == RESPONSE
                assert self.dispatch_counts.get("k") == 1


def test_operation_runs_at_most_once_with_a_fault_in_any_submission():
    # Guards against a dispatch after a begin without a result and against a record that
    # is lost while the operation runs.
    async def main(faults, end):
        caller = Caller(FaultyCatalog(faults))
        first = await caller.send(0, end=end)
        if isinstance(first, Failure) and first.failure().is_not_run:
            assert caller.dispatch_counts == {}
        retries = [await caller.send(entry) for entry in (0, 1, 0, 1)]
        await asyncio.sleep(120)
        caller.check([first, *retries])
        last = await caller.send(1)
        caller.check([last])
        if end == "release":
            assert last == Success(RESPONSE), "a released key must stay usable"
        if end == "finish":
            assert last == Success(RESPONSE), "a stored response must be returned"
        if end == "abandon" and not first.failure().is_not_run:
            assert last.failure().execution is Execution.MAY_HAVE_RUN

    for faults in itertools.product(FAULTS, repeat=3):
        for end in ("finish", "release", "abandon"):
            run_virtual(main(faults, end))


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.lists(st.sampled_from(FAULTS), max_size=12),
    st.lists(
        st.tuples(
            st.integers(0, 1),
            st.sampled_from(["finish", "release", "abandon"]),
            st.sampled_from([0.1, 0.6, 2.0]),
            st.sampled_from([0.0, 0.02, 0.7]),
            st.booleans(),
        ),
        min_size=1,
        max_size=8,
    ),
)
def test_concurrent_and_cancelled_requests_run_at_most_once(faults, requests):
    # Guards against races between retries of the caller, cancelled callers and
    # background retries.
    async def main():
        caller = Caller(FaultyCatalog(faults))
        tasks = []
        for entry, end, max_wait, pause, is_cancelled in requests:
            request = caller.send(entry, end=end, max_wait=max_wait)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(pause)
            if is_cancelled:
                tasks[-1].cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        caller.check([item for item in results if not isinstance(item, BaseException)])
        assert all(count == 1 for count in caller.dispatch_counts.values())

    run_virtual(main())


def test_retry_at_the_same_entry_waits_for_the_first_outcome():
    # Guards against a retry that is refused although the first request is running.
    async def main():
        catalog = FaultyCatalog()
        caller = Caller(catalog)
        results = await asyncio.gather(*(caller.send(0) for _ in range(5)))
        assert results == [Success(RESPONSE)] * 5
        assert [item["kind"] for item in catalog.commands].count("begin_operation") == 1
        (refused,) = await asyncio.gather(caller.send(0, digest=b"other"))
        assert refused.failure().code == "idempotency_conflict"

    run_virtual(main())


def test_retry_gets_may_have_run_at_its_deadline():
    # Guards against a retry that exceeds its deadline or gets "not run".
    async def main():
        caller = Caller(FaultyCatalog(["slow"]))
        first = asyncio.create_task(caller.send(0))
        await asyncio.sleep(0)
        retry = await caller.send(0, max_wait=0.2)
        assert asyncio.get_running_loop().time() <= 0.21
        assert retry.failure().execution is Execution.MAY_HAVE_RUN
        assert await first == Success(RESPONSE)

    run_virtual(main())


def test_failed_finish_is_retried_and_retries_get_may_have_run_until_then():
    # Guards against a response that is lost because one attempt to record it failed.
    async def main():
        catalog = FaultyCatalog()
        catalog.refused_kinds = {"finish_operation"}
        caller = Caller(catalog)
        assert await caller.send(0) == Success(RESPONSE)
        for entry in (0, 1):
            retry = await caller.send(entry, max_wait=0.05)
            assert retry.failure().execution is Execution.MAY_HAVE_RUN
        catalog.refused_kinds.clear()
        await asyncio.sleep(5)
        assert await caller.send(1) == Success(RESPONSE)
        assert caller.entries[0].dump()["background"] == 0

    run_virtual(main())


def test_begin_without_a_result_is_refused_as_not_run_and_released():
    # Guards against a key that stays in progress after a begin without a result, also
    # if that begin is committed after the release.
    async def main():
        catalog = FaultyCatalog(["late"])
        caller = Caller(catalog)
        result = await caller.send(0, max_wait=0.3)
        assert result.failure().is_not_run and result.failure().status == 503
        assert len({item["attempt_id"] for item in catalog.commands}) == 1
        await asyncio.sleep(30)
        assert caller.dispatch_counts == {}
        assert await caller.send(1) == Success(RESPONSE)

    run_virtual(main())


def test_outcome_can_be_reported_only_once():
    # Guards against a second outcome that replaces the first.
    async def main():
        operations = OperationClient(submitter=FaultyCatalog())
        handle = (await operations.begin("o", "k", b"d", deadline=1.0)).unwrap()
        await operations.finish(handle, RESPONSE)
        for call in (operations.finish(handle, RESPONSE), operations.release(handle)):
            try:
                await call
            except ValueError as error:
                assert "operation must be running" in str(error)
            else:
                raise AssertionError("a second outcome must raise ValueError")
        assert isinstance(handle, OperationHandle)

    run_virtual(main())
