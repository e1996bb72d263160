"""Validation, background tasks and other helpers shared by all packages."""

from toucanwood.utils._event_loop import find_program_start, run_suspend_aware
from toucanwood.utils._json import decode_json
from toucanwood.utils._partial_import import skip_package_init
from toucanwood.utils._process import Program, run_program
from toucanwood.utils._tasks import (
    TaskGroup,
    cancel_and_wait,
    run_periodically,
    run_step,
)
from toucanwood.utils._transports import limit_read_size, reset_connection
from toucanwood.utils._validation import (
    FieldError,
    MappingReader,
    ValidationError,
    check_range,
)
from toucanwood.utils._virtual_time import VirtualTimeLoop, run_virtual
from toucanwood.utils._yaml import load_yaml

__all__ = [
    "FieldError",
    "MappingReader",
    "Program",
    "TaskGroup",
    "ValidationError",
    "VirtualTimeLoop",
    "cancel_and_wait",
    "check_range",
    "decode_json",
    "find_program_start",
    "limit_read_size",
    "load_yaml",
    "reset_connection",
    "run_periodically",
    "run_program",
    "run_step",
    "run_suspend_aware",
    "skip_package_init",
    "run_virtual",
]
