"""
The samples of the bytes that the product writes and reads.

To record something new, add its sample to ``recorded_peers``,
``recorded_bundles`` or ``recorded_store`` and run
``PYTHONPATH=.:platform .venv/bin/python -m features.support.recorded_samples``:
it records what is not there yet. A change of names touches the builders of the
samples only, never the recorded bytes.
"""

from features.support import recorded, recorded_bundles, recorded_peers, recorded_store

Sample = recorded.Sample


def all_samples() -> list[Sample]:
    """Return every sample."""
    return [
        *recorded_peers.peer_samples(),
        *recorded_bundles.bundle_samples(),
        *recorded_store.store_samples(),
    ]


def main() -> None:
    """Record what is not there yet."""
    recorded.record_missing(all_samples())


if __name__ == "__main__":
    main()
