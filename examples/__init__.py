"""Example deployments on loopback with simulated targets."""
