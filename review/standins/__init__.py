"""Stand-ins for clients, workers, discovery and the platform, for the cases of the review."""
