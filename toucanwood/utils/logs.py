"""Log configuration: each event is one line of key=value pairs on standard error."""

import logging
import sys

import structlog


def configure_logging() -> None:
    """Write structlog events and library warnings as key=value lines."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=logging.ERROR, handlers=[_LogfmtHandler()], force=True)


class _LogfmtHandler(logging.Handler):
    """Pass records of the standard library on as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the first line of the message; tracebacks would break the line."""
        message = record.getMessage().partition("\n")[0]
        error = repr(record.exc_info[1]) if record.exc_info else None
        log = structlog.get_logger()
        log.error("library_error", logger=record.name, message=message, error=error)
