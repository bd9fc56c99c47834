"""Waits for ports, fetches counters and checks the results for demo.sh.

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
# Share of requests that must be answered while the system is changed.
MIN_ANSWERED_SHARE = 0.95


def wait_for_port(address):
    host, port = address.split(":")
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        try:
            socket.create_connection((host, int(port)), 1).close()
            return 0
        except OSError:
            if time.monotonic() > deadline:
                print(
                    f"demo: {address} accepted no connection in {TIMEOUT_S} s",
                    file=sys.stderr,
                )
                return 1
            time.sleep(0.05)


def fetch_urls(*urls_and_paths):
    """Saves the response of each URL to a file; a failed URL leaves no file."""
    failed = 0
    for url, path in zip(urls_and_paths[::2], urls_and_paths[1::2]):
        try:
            with urllib.request.urlopen(url, timeout=TIMEOUT_S) as answer:
                pathlib.Path(path).write_bytes(answer.read())
        except OSError:
            print(f"demo: {url} doesn't answer", file=sys.stderr)
            failed = 1
    return failed


def read_json(path):
    return json.loads(pathlib.Path(path).read_text())


def check_all_calls_answered(path):
    report = read_json(path)
    kinds = list_reports_by_call_kind(report)
    all_answered = all(kind["answered"] == kind["started"] for kind in kinds)
    tried = report["requests"] and report["uploads"]
    watched = report["watches"]["opened"] > 0 == report["watches"]["broken"]
    return 0 if all_answered and tried and watched else 1


def read_target_reports(directory, suffix):
    return {
        report["name"]: report
        for report in map(
            read_json, sorted(directory.glob(f"target-*{suffix}.json"))
        )
    }


def count_runs_by_request(targets):
    """Returns how often each request, by identity, ran at all targets."""
    runs = {}
    for target in targets.values():
        for identity in target["request_ids"]:
            times = target["doubled"].get(identity, 1)
            runs[identity] = runs.get(identity, 0) + times
    return runs


def count_arrivals_at_wrong_service(load, targets):
    at_targets = sum(target["wrong_service"] for target in targets.values())
    crossed = sum(kind["crossed"] for kind in list_reports_by_call_kind(load))
    return at_targets + crossed + load["watches"]["wrong_service"]


def list_reports_by_call_kind(load):
    return list(load["requests"].values()) + list(load["uploads"].values())


def sum_counts(kinds, figure):
    return sum(kind[figure] for kind in kinds)


def print_target_counters(start, drained, end):
    print("\ntarget         runs  uploads  notifications  peak waiting")
    for name, report in end.items():
        before = start[name]
        runs = report["runs"] - before["runs"]
        uploads = report["uploads"] - before["uploads"]
        board_reads = report["board_reads"] - before["board_reads"]
        print(
            f"{name:12} {runs:6} {uploads:8} {board_reads:14}"
            f" {report['max_waiting']:13}"
        )
    late = end[DRAINED_TARGET]["runs"] - drained[DRAINED_TARGET]["runs"]
    print(
        f"{DRAINED_TARGET} ran {late} requests more than 4 s after its drain"
        " had started"
    )
    return late


def find_counter(value, name):
    """Finds a counter at any depth of a status document."""
    if isinstance(value, dict):
        if name in value and isinstance(value[name], (int, float)):
            return value[name]
        for inner in value.values():
            found = find_counter(inner, name)
            if found is not None:
                return found
    return None


def print_control_traffic(directory):
    print("\nprocess            control bytes sent  control bytes received")
    for path in sorted(directory.glob("daemon-*.json")):
        status = read_json(path)
        sent = find_counter(status, "control_bytes_sent")
        received = find_counter(status, "control_bytes_received")
        name = path.stem.removeprefix("daemon-")
        print(f"{name:18} {sent or 0:19.0f} {received or 0:23.0f}")


def print_fabric_counters(fabric):
    shares = ", ".join(str(it["packets"]) for it in fabric["balancers"])
    print(
        f"\nfabric: {fabric['from_callers']} packets from callers"
        f" ({shares} by balancer), {fabric['to_callers']} to callers,"
        f" {fabric['no_balancer']} with no balancer ready,"
        f" {fabric['unreachable']} resets"
    )


def check_demo_run(path):
    directory = pathlib.Path(path)
    load = read_json(directory / "load.json")
    start = read_target_reports(directory, ".start")
    drained = read_target_reports(directory, ".drained")
    end = read_target_reports(directory, ".end")
    runs = count_runs_by_request(end)
    watches = load["watches"]
    requests = list(load["requests"].values())
    uploads = list(load["uploads"].values())
    refused = [it for kind in requests for it in kind["refused_ids"]]
    answered = [it for kind in requests for it in kind["answered_ids"]]
    late = print_target_counters(start, drained, end)
    print_control_traffic(directory)
    print_fabric_counters(read_json(directory / "fabric.end.json"))
    checks = {
        "watches established": (watches["opened"], watches["opened"] > 0),
        "watches broken": (watches["broken"], watches["broken"] == 0),
        "watches moved to another target": (
            watches["moved"],
            watches["moved"] == 0,
        ),
        "uploads broken": (
            sum_counts(uploads, "lost") + sum_counts(uploads, "unknown"),
            sum_counts(uploads, "lost") + sum_counts(uploads, "unknown") == 0,
        ),
        "requests answered of started": (
            f"{sum_counts(requests, 'answered')}"
            f"/{sum_counts(requests, 'started')}",
            sum_counts(requests, "answered")
            >= MIN_ANSWERED_SHARE * sum_counts(requests, "started"),
        ),
        "requests refused": (sum_counts(requests, "refused"), True),
        "requests of unknown outcome": (sum_counts(requests, "unknown"), True),
        "requests lost": (sum_counts(requests, "lost"), True),
        "requests run more than once": count_and_check_none(
            [it for it, n in runs.items() if it and n > 1]
        ),
        "refused requests that ran": count_and_check_none(
            [it for it in refused if it in runs]
        ),
        "answered requests that never ran": count_and_check_none(
            [it for it in answered if it not in runs]
        ),
        "requests or answers at the wrong service": (
            count_arrivals_at_wrong_service(load, end),
            count_arrivals_at_wrong_service(load, end) == 0,
        ),
        f"late runs at the drained {DRAINED_TARGET}": (late, late == 0),
    }
    return print_check_results(checks)


def count_and_check_none(found):
    return len(found), not found


def print_check_results(checks):
    print("\nwhat callers saw")
    for name, (value, passed) in checks.items():
        print(f"  {name:42} {value!s:>10}  {'ok' if passed else 'FAILED'}")
    failed = [name for name, (_, passed) in checks.items() if not passed]
    print(f"demo: {'FAILED: ' + '; '.join(failed) if failed else 'passed'}")
    return 1 if failed else 0


def main():
    commands = {
        "wait-port": wait_for_port,
        "fetch": fetch_urls,
        "serving": check_all_calls_answered,
        "judge": check_demo_run,
    }
    sys.exit(commands[sys.argv[1]](*sys.argv[2:]))


if __name__ == "__main__":
    main()
