"""Stand-ins of the second review: store, workers, gateways and clients."""
