"""Tests of the replicated log."""

import logging

import structlog

# Fault tests provoke thousands of warnings, which would hide the verdicts.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)
