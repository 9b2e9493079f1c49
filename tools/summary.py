"""
Pick the project's own rows and the bounds' reads out of the policies table.

Prints a short table for ``docs/MEASUREMENTS.md``.
"""

import pathlib

TABLE = pathlib.Path("docs/measurements/policies.md")
KINDS = ("urgent", "booking", "browse")


def main() -> None:
    """Print the short table."""
    cells: dict[tuple[str, str, str, str], dict[str, list[str]]] = {}
    for line in TABLE.read_text().splitlines():
        parts = [part.strip() for part in line.split("|")[1:-1]]
        if len(parts) == 16 and parts[4] in KINDS:
            key = (parts[0], parts[1], parts[2], parts[4])
            cells.setdefault(key, {})[parts[3]] = parts
    print(
        "| workload | slots | load | kind | central p99 | shortest | least"
        " outstanding | owned | x central p99 | x central p99.9 | refused + failed |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    for key, by_way in cells.items():
        p99 = [
            by_way[way][6] if way in by_way else "-"
            for way in ("central", "shortest", "least-outstanding", "owned")
        ]
        own = by_way["owned"]
        lost = f"{own[12]} + {own[13]}"
        print("| " + " | ".join([*key, *p99, own[8], own[9], lost]) + " |")


if __name__ == "__main__":
    main()
