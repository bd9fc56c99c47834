"""Copies a configuration sheet and replaces the addresses of its services.

Usage: replace_addresses.py IN.csv OUT.csv SERVICE=ADDRESS...
"""

import csv
import sys


def main():
    source, target = sys.argv[1:3]
    addresses = dict(item.split("=", 1) for item in sys.argv[3:])
    with open(source, newline="", encoding="utf-8-sig") as file:
        reader = csv.DictReader(file)
        rows = list(reader)
    for row in rows:
        if row["address"]:
            row["address"] = addresses[row["service"]]
    with open(target, "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, reader.fieldnames)
        writer.writeheader()
        writer.writerows(rows)


if __name__ == "__main__":
    main()
