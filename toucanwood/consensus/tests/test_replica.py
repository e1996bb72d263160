"""Tests of replicas on a network without faults, and of single faults."""

from toucanwood.consensus.tests.fixtures import Cluster
from toucanwood.utils import run_virtual


def test_three_replicas_form_a_group_and_apply_commands():
    # Guards against a group that cannot form, elect or replicate.
    async def main():
        cluster = Cluster("abc")
        await cluster.start()
        for number in range(20):
            await cluster.propose(b"%d" % number)
        await cluster.wait_equal()
        commands = cluster.machines["a"].commands.values()
        assert list(commands) == [b"%d" % n for n in range(20)]
        assert len(cluster.leaders()) == 1

    run_virtual(main())
