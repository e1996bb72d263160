"""Tests of the replicated log."""

import logging

import structlog

# The fault tests cause thousands of warnings, which would hide the test results.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)
