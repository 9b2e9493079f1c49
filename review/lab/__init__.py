"""Stand-ins of the review: the platform's store, workers, clients and a proxy."""
