"""Stand-ins for the cases of the review: the platform, operator, workers and clients, on loopback addresses only."""
