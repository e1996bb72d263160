"""An HTTP/1.1 server that runs pipelined requests concurrently."""

from toucanwood.httpd._body_budget import (
    DEFAULT_BODY_MEMORY_BYTES,
    BodyBudget,
    BodyMemoryFull,
)
from toucanwood.httpd._connection import Connection
from toucanwood.httpd._connection_limit import ConnectionLimit, get_open_file_limit
from toucanwood.httpd._listener import Listener
from toucanwood.httpd._request import BodyError, BodyTooLarge, CallerRequest
from toucanwood.httpd._responder import Responder
from toucanwood.httpd._response import Response, build_error_response
from toucanwood.httpd._server import HttpServer

__all__ = [
    "DEFAULT_BODY_MEMORY_BYTES",
    "BodyBudget",
    "BodyError",
    "BodyMemoryFull",
    "BodyTooLarge",
    "CallerRequest",
    "Connection",
    "ConnectionLimit",
    "HttpServer",
    "Listener",
    "Responder",
    "Response",
    "build_error_response",
    "get_open_file_limit",
]
