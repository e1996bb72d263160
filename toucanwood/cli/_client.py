"""HTTP client of the command line for one instance."""

import asyncio
import os
from enum import IntEnum
from pathlib import Path
from typing import Any
from urllib.parse import quote

import aiohttp
import attrs

OPERATOR_TOKEN_VARIABLE = "TOUCANWOOD_OPERATOR_TOKEN"
BASE_PATH = "/.toucanwood"


class ExitCode(IntEnum):
    """Exit statuses of the command line."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    CONFLICT = 3
    UNREACHABLE = 4


class CommandError(Exception):
    """Exception with the error line and the exit status of a failed command."""

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = exit_code


@attrs.frozen
class Client:
    """Client of the HTTP interface of one instance; `timeout` is in seconds."""

    address: str
    token: str | None = attrs.field(default=None, repr=False)
    timeout: float = 10.0

    def get(self, path: str) -> Any:
        """Send a GET request and return the JSON response."""
        return self.send("GET", path)

    def send(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        text: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send a request and return the JSON response.

        Raises CommandError if the instance refuses the request or can't be reached.
        """
        return asyncio.run(self._send(method, path, body, text, headers or {}))

    async def _send(
        self,
        method: str,
        path: str,
        body: Any,
        text: str | None,
        headers: dict[str, str],
    ) -> Any:
        url = f"http://{self.address}{BASE_PATH}{path}"
        if self.token:
            headers = {**headers, "Authorization": f"Bearer {self.token}"}
        timeout = aiohttp.ClientTimeout(total=self.timeout)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, url, json=body, data=text, headers=headers
                ) as response,
            ):
                return await _read_response(response)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            reason = str(error) or type(error).__name__
            message = f"instance {self.address} can't be reached: {reason}"
            raise CommandError(message, ExitCode.UNREACHABLE) from None


async def _read_response(response: aiohttp.ClientResponse) -> Any:
    content = await response.json(content_type=None)
    if response.status < 400:
        return content
    error = content.get("error", {}) if isinstance(content, dict) else {}
    code = error.get("code", f"http_{response.status}")
    message = error.get("message", "the instance gave no reason")
    verdict = error.get("verdict")
    text = f"{code}: {message}" + (f" ({verdict})" if verdict else "")
    raise CommandError(text, _get_exit_code(response.status))


def _get_exit_code(status: int) -> ExitCode:
    if status in (409, 412):
        return ExitCode.CONFLICT
    if status in (400, 422):
        return ExitCode.INVALID
    return ExitCode.REFUSED


def read_token(token_file: Path | None) -> str | None:
    """Return the operator token from a file or from the environment."""
    if token_file is None:
        return os.environ.get(OPERATOR_TOKEN_VARIABLE)
    try:
        return token_file.read_text().strip()
    except OSError as error:
        raise CommandError(str(error), ExitCode.INVALID) from None


def quote_segment(value: str) -> str:
    """Quote a value for use as one segment of a URL path."""
    return quote(value, safe="")
