"""Randomized soak test of real processes on loopback under injected faults."""
