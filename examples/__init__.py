"""Example deployments on loopback, with stand-in targets."""
