"""Global traffic steering for services that run in several regions."""

__version__ = "0.1.0"
