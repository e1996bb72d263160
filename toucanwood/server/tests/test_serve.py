import errno
from unittest import mock

import attrs
from structlog.testing import capture_logs

from toucanwood.server import _serve


@attrs.define
class FailingInstance:
    """An instance that can't start, or whose data directory fails."""

    start_error: OSError | None = None
    is_closed: bool = False

    async def start(self):
        if self.start_error is not None:
            raise self.start_error

    async def wait_failed(self):
        return "the disk is full"

    async def close(self):
        self.is_closed = True


def serve(instance):
    settings = mock.Mock(id="a")
    with mock.patch.object(_serve, "Instance", lambda settings: instance):
        with capture_logs() as lines:
            status = _serve.run_suspend_aware(_serve._serve(settings))
    return status, [line["event"] for line in lines]


# Guards against peer connections that run on a closed event loop after a failure and
# print their tracebacks behind its line.
def test_connections_between_instances_are_closed_after_a_failure():
    failed_start = FailingInstance(OSError(errno.EADDRINUSE, "in use"))
    assert serve(failed_start) == (1, ["start_failed"])
    failed_later = FailingInstance()
    assert serve(failed_later) == (1, ["data_dir_failed"])
    assert failed_start.is_closed and failed_later.is_closed
