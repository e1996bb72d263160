"""An HTTP/1.1 server whose pipelined requests run side by side."""

from toucanwood.httpd._answer import Answer, build_failure
from toucanwood.httpd._connection import Connection, Turn
from toucanwood.httpd._listener import Listener
from toucanwood.httpd._request import BodyError, BodyTooLarge, CallerRequest
from toucanwood.httpd._server import HttpServer

__all__ = [
    "Answer",
    "BodyError",
    "BodyTooLarge",
    "CallerRequest",
    "Connection",
    "HttpServer",
    "Listener",
    "Turn",
    "build_failure",
]
