"""The entry's side of a relayed connection: frames in, events of the target out."""

import asyncio
from collections.abc import Callable

import structlog

from toucanwood.relay._frames import ConnectionEnd, FrameDecoder, FrameError
from toucanwood.utils import reset_connection

log = structlog.get_logger()


class RelayEnded(ConnectionResetError):
    """Report that a relayed connection ended before its target ended it."""


class RelayedProtocol(asyncio.Protocol):
    """Pass the events of a target's connection to the protocol that reads it.

    The protocol gets the same calls as on a direct connection. It writes to the
    transport of the relayed connection, since the requests are not framed.
    `on_relay_failed` is called with a reason if the relay ends the connection.
    """

    def __init__(
        self,
        protocol: asyncio.Protocol,
        relay: str,
        on_relay_failed: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self.protocol = protocol
        self._relay = relay
        self._on_relay_failed = on_relay_failed
        self._is_closed_by_relay = False
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the transport on."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.protocol.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Decode frames, pass the target's bytes on, and end after the last frame."""
        if self._has_ended:
            return
        transport = self._transport
        assert transport is not None
        try:
            content = self._decoder.decode(data)
        except FrameError as error:
            log.warning(
                "relay_sent_invalid_frame", relay=self._relay, reason=str(error)
            )
            self._on_relay_failed(str(error))
            self._end(RelayEnded(f"relay {self._relay}: {error}"))
            reset_connection(transport)
            return
        if content:
            self.protocol.data_received(content)
        # While reading is paused, the reader hasn't taken the bytes before the end. The
        # end of the relayed connection then ends it once reading is resumed, as the end
        # of a direct connection does.
        if self._decoder.end is not None and transport.is_reading():
            transport.close()
            self._end(self._describe_end())

    def eof_received(self) -> bool | None:
        """Close the transport; `connection_lost` follows."""
        self._is_closed_by_relay = True
        return None

    def pause_writing(self) -> None:
        """Pass the state of the write buffer on."""
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass the state of the write buffer on."""
        self.protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the target's connection in the way that the relay has reported."""
        self._transport = None
        if self._decoder.end is not None:
            self._end(self._describe_end())
            return
        error = RelayEnded(f"the connection to relay {self._relay} ended: {exc!r}")
        # Without a close or an error of the other side, the entry has ended it.
        if not self._has_ended and (self._is_closed_by_relay or exc is not None):
            self._on_relay_failed(str(error))
        self._end(error)

    def _describe_end(self) -> Exception | None:
        """Return None if the target closed its connection, else what ended it."""
        end = self._decoder.end
        assert end is not None
        if end is ConnectionEnd.CLOSED:
            return None
        if end is ConnectionEnd.RESET:
            return ConnectionResetError("the target reset its connection")
        reason = end.name.lower().replace("_", " ")
        error = RelayEnded(f"relay {self._relay} ended the connection: {reason}")
        if end is ConnectionEnd.RELAY_STOPPED and not self._has_ended:
            self._on_relay_failed(str(error))
        return error

    def _end(self, error: Exception | None) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self.protocol.connection_lost(error)
