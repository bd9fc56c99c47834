"""Helper of demo.sh: fetches counters, waits, and judges the run.

Usage:
  demo_report.py wait-port ADDRESS:PORT
  demo_report.py fetch URL FILE [URL FILE]...
  demo_report.py serving LOAD_REPORT
  demo_report.py judge DIRECTORY
"""

import json
import pathlib
import socket
import sys
import time
import urllib.request

TIMEOUT_S = 5
DRAINED_TARGET = "fitquote-3"
# Callers must be served while things change: share of requests answered.
MIN_ANSWERED_SHARE = 0.95


def wait_port(address):
    host, port = address.split(":")
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        try:
            socket.create_connection((host, int(port)), 1).close()
            return 0
        except OSError:
            if time.monotonic() > deadline:
                print(f"demo: nothing listens on {address}", file=sys.stderr)
                return 1
            time.sleep(0.05)


def fetch(*urls_and_paths):
    """Saves what each URL answers; one that doesn't answer leaves no file."""
    failed = 0
    for url, path in zip(urls_and_paths[::2], urls_and_paths[1::2]):
        try:
            with urllib.request.urlopen(url, timeout=TIMEOUT_S) as answer:
                pathlib.Path(path).write_bytes(answer.read())
        except OSError:
            print(f"demo: {url} doesn't answer", file=sys.stderr)
            failed = 1
    return failed


def read(path):
    return json.loads(pathlib.Path(path).read_text())


def serving(path):
    report = read(path)
    kinds = all_kinds(report)
    all_answered = all(kind["answered"] == kind["started"] for kind in kinds)
    tried = report["requests"] and report["uploads"]
    watched = report["watches"]["opened"] > 0 == report["watches"]["broken"]
    return 0 if all_answered and tried and watched else 1


def read_targets(directory, suffix):
    return {
        report["name"]: report
        for report in map(read, sorted(directory.glob(f"target-*{suffix}.json")))
    }


def find_runs(targets):
    """Request identity -> how often it ran, over all targets."""
    runs = {}
    for target in targets.values():
        for identity in target["request_ids"]:
            times = target["doubled"].get(identity, 1)
            runs[identity] = runs.get(identity, 0) + times
    return runs


def find_wrong_service(load, targets):
    at_targets = sum(target["wrong_service"] for target in targets.values())
    crossed = sum(kind["crossed"] for kind in all_kinds(load))
    return at_targets + crossed + load["watches"]["wrong_service"]


def all_kinds(load):
    return list(load["requests"].values()) + list(load["uploads"].values())


def total(kinds, figure):
    return sum(kind[figure] for kind in kinds)


def print_targets(start, drained, end):
    print("\ntarget         runs  uploads  notifications  most waiting")
    for name, report in end.items():
        before = start[name]
        runs = report["runs"] - before["runs"]
        uploads = report["uploads"] - before["uploads"]
        boards = report["board_reads"] - before["board_reads"]
        print(
            f"{name:12} {runs:6} {uploads:8} {boards:14}"
            f" {report['max_waiting']:13}"
        )
    late = end[DRAINED_TARGET]["runs"] - drained[DRAINED_TARGET]["runs"]
    print(f"{DRAINED_TARGET} ran {late} requests from 4 s after its drain on")
    return late


def find_counter(value, name):
    """Finds a counter anywhere in a status document."""
    if isinstance(value, dict):
        if name in value and isinstance(value[name], (int, float)):
            return value[name]
        for inner in value.values():
            found = find_counter(inner, name)
            if found is not None:
                return found
    return None


def print_daemons(directory):
    print("\nprocess            control bytes sent  control bytes received")
    for path in sorted(directory.glob("daemon-*.json")):
        status = read(path)
        sent = find_counter(status, "control_bytes_sent")
        received = find_counter(status, "control_bytes_received")
        name = path.stem.removeprefix("daemon-")
        print(f"{name:18} {sent or 0:19.0f} {received or 0:23.0f}")


def print_fabric(fabric):
    shares = ", ".join(str(it["packets"]) for it in fabric["balancers"])
    print(
        f"\nfabric: {fabric['from_callers']} packets from callers"
        f" ({shares} by balancer), {fabric['to_callers']} to callers,"
        f" {fabric['no_balancer']} with no balancer ready,"
        f" {fabric['unreachable']} resets"
    )


def judge(path):
    directory = pathlib.Path(path)
    load = read(directory / "load.json")
    start = read_targets(directory, ".start")
    drained = read_targets(directory, ".drained")
    end = read_targets(directory, ".end")
    runs = find_runs(end)
    watches = load["watches"]
    requests = list(load["requests"].values())
    uploads = list(load["uploads"].values())
    refused = [it for kind in requests for it in kind["refused_ids"]]
    answered = [it for kind in requests for it in kind["answered_ids"]]
    late = print_targets(start, drained, end)
    print_daemons(directory)
    print_fabric(read(directory / "fabric.end.json"))
    checks = {
        "watches established": (watches["opened"], watches["opened"] > 0),
        "watches broken": (watches["broken"], watches["broken"] == 0),
        "watches moved to another target": (
            watches["moved"],
            watches["moved"] == 0,
        ),
        "uploads broken": (
            total(uploads, "lost") + total(uploads, "unknown"),
            total(uploads, "lost") + total(uploads, "unknown") == 0,
        ),
        "requests answered of started": (
            f"{total(requests, 'answered')}/{total(requests, 'started')}",
            total(requests, "answered")
            >= MIN_ANSWERED_SHARE * total(requests, "started"),
        ),
        "requests refused": (total(requests, "refused"), True),
        "requests of unknown outcome": (total(requests, "unknown"), True),
        "requests lost": (total(requests, "lost"), True),
        "requests doubled": check_none(
            [it for it, n in runs.items() if it and n > 1]
        ),
        "refused as not run, but run": check_none(
            [it for it in refused if it in runs]
        ),
        "answered, but not run": check_none(
            [it for it in answered if it not in runs]
        ),
        "requests or answers at another service": (
            find_wrong_service(load, end),
            find_wrong_service(load, end) == 0,
        ),
        f"late runs at the drained {DRAINED_TARGET}": (late, late == 0),
    }
    return print_verdict(checks)


def check_none(found):
    return len(found), not found


def print_verdict(checks):
    print("\nwhat callers saw")
    for name, (value, kept) in checks.items():
        print(f"  {name:42} {value!s:>10}  {'ok' if kept else 'FAILED'}")
    failed = [name for name, (_, kept) in checks.items() if not kept]
    print(f"demo: {'FAILED: ' + '; '.join(failed) if failed else 'passed'}")
    return 1 if failed else 0


def main():
    commands = {
        "wait-port": wait_port,
        "fetch": fetch,
        "serving": serving,
        "judge": judge,
    }
    sys.exit(commands[sys.argv[1]](*sys.argv[2:]))


if __name__ == "__main__":
    main()
