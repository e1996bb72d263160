"""Stand-ins for the platform, workers, clients and the operator of the review cases."""
