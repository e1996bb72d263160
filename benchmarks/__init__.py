"""Benchmarks; ``python -m benchmarks NAME`` runs one of them."""
