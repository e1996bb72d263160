"""Scripts for development and CI."""
