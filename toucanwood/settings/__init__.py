"""Settings of one instance."""

from toucanwood.settings._settings import PeerAddress, Settings

__all__ = ["PeerAddress", "Settings"]
