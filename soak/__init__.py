"""A randomized soak: real processes on loopback, faults from outside, a checker."""
