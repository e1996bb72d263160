"""Settings of one instance."""

from toucanwood.settings._settings import PeerAddress, Settings, is_address

__all__ = ["PeerAddress", "Settings", "is_address"]
