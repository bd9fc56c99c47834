#!/usr/bin/env python3
"""Computes what a perfect balancer could serve on a day of a deployment.

    support/limit.py SITE.toml [DAY ...]

A calculation in steps of 10 ms over the callers, the targets' room and the times
at which hosts are down, as the site file gives them. The perfect balancer knows
all targets, has routes at once, loses no packet and serves first the requests
that can still be in their aim, then late ones by the end of their deadline.

What it takes as given, from the pages of the deployment:

- A caller repeats its first packet after 200 and 600 ms, and packets of open
  flows also after 1,400 ms; it reaches the system with the first one that is
  sent while hosts are up. A request that reaches nobody by its deadline is lost.
- After a loss of power hosts start within 0.15 s of each other. Targets start
  with them, without flows, and take `cold_x` times as long for `cold_s`.
- Killed processes are started again after half a second, and targets go on.
- Outside of these times the share UNDISTURBED is served in aim: work that takes
  longer than the aim, and lost packets.

Not in the calculation: kills of single processes, cuts, crashes of targets and
releases, which cost less than 0.002 of a day's worth where they were measured,
and requests that are lost with a target that ran them.
"""

import argparse
import dataclasses
import math
import pathlib
import sys
import tomllib

STEP_S = 0.01
# Time from the end of the day's plan until the closing fault strikes.
CLOSING_DELAY_S = 0.06
WINDOW_S = 2.0
# Mean time after the return of the power until a host's processes run.
START_S = 0.07
# Time after which a killed process runs again.
RESTART_S = 0.5
# Traffic goes on after the closing fault for the time of recovery.
RECOVERY_S = 17.0
UNDISTURBED = 0.998
OPENING_COPIES_S = (0.0, 0.2, 0.6)
DATA_COPIES_S = (0.0, 0.2, 0.6, 1.4)
ROUND_TRIPS_S = 0.014


class LimitError(Exception):
    """A site file that can't be used."""


@dataclasses.dataclass
class Kind:
    """A kind of requests."""

    name: str
    per_s: float
    aim_s: float
    deadline_s: float
    worth: float
    late_worth: float
    work_s: float
    service: str
    copies_s: tuple


@dataclasses.dataclass
class Batch:
    """Requests of one kind and one step, as a quantity."""

    kind: Kind
    asked_at: float
    count: float
    reaches_at: float | None


@dataclasses.dataclass
class Outage:
    """A time in which a share of the callers reaches no balancer."""

    start: float
    end: float
    share: float


def read_kinds(site, day):
    """Returns the kinds of requests with their rate over all zones."""
    rates = {}
    for traffic in day.get("traffic", site["traffic"]):
        total = sum(traffic["mix"].values())
        for name, share in traffic["mix"].items():
            rates[name] = rates.get(name, 0) + traffic["per_s"] * share / total
    return [Kind(name=it["name"], per_s=rates.get(it["name"], 0),
                 aim_s=it["aim_ms"] / 1000, deadline_s=it["deadline_ms"] / 1000,
                 worth=it["worth"], late_worth=it["late_worth"],
                 work_s=it["work_ms"]["mean"] / 1000, service=it["service"],
                 copies_s=OPENING_COPIES_S if it.get("habit") == "fresh"
                 else DATA_COPIES_S)
            for it in site["classes"]]


def count_targets(site, day):
    """Returns the number of targets a service has at the closing fault."""
    counts = {}
    for machine in site["machines"]:
        if machine["class"] == "side":
            app = machine["app"]
            counts[app] = counts.get(app, 0) + machine["count"]
    main = max(counts, key=counts.get)
    for entry in day.get("plan", []) + day.get("faults", []):
        change = max(1, round(entry.get("share", 0) * counts[main]))
        if entry["kind"] == "scale_in" or (
                entry["kind"] == "srv_crash" and "gone" in entry.get("how", "")):
            counts[main] -= change
        elif entry["kind"] == "scale_out":
            counts[main] += change
    return counts


def list_outages(site, day):
    """Returns the times without balancers, and when targets lost their power
    and were back."""
    outages = []
    power = None
    for entry in day.get("faults", []):
        if entry["kind"] == "herd_kill":
            outages.append(Outage(entry["at"], entry["at"] + RESTART_S,
                                  entry.get("share", 0.6)))
    closing = day.get("closing")
    if closing:
        start = site["length_s"] + CLOSING_DELAY_S
        if closing["kind"] == "kill_all":
            outages.append(Outage(start, start + RESTART_S, 1.0))
        else:
            power = (start, start + closing["down_s"] + START_S)
            outages.append(Outage(*power, 1.0))
    return outages, power


def is_down(outages, time, share_index):
    return any(it.start <= time < it.end and share_index < it.share
               for it in outages)


def make_batches(kinds, outages, time):
    """Returns the requests asked at a time, by when they reach the system."""
    batches = []
    edges = sorted({0.0, 1.0} | {it.share for it in outages
                                 if it.start <= time < it.end})
    for low, high in zip(edges, edges[1:]):
        for kind in kinds:
            reaches = next(
                (time + copy for copy in kind.copies_s
                 if copy < kind.deadline_s
                 and not is_down(outages, time + copy, low)), None)
            batches.append(Batch(kind, time, kind.per_s * STEP_S * (high - low),
                                 reaches))
    return batches


def order_of(batch, time):
    """Sorts those that can be in their aim first, by worth for work, then late
    ones by the end of their deadline."""
    kind = batch.kind
    spent = time - batch.asked_at + ROUND_TRIPS_S + kind.work_s
    if spent <= kind.aim_s:
        return (0, -kind.worth / kind.work_s, batch.asked_at)
    return (1, batch.asked_at + kind.deadline_s, 0)


def serve(waiting, room_s, time, cold_x, windows):
    """Serves the waiting requests of a service with its room of one step, in
    seconds of work. Returns those that wait on."""
    left = []
    for batch in sorted(waiting, key=lambda it: order_of(it, time)):
        kind = batch.kind
        work_s = kind.work_s * cold_x
        spent = time - batch.asked_at + ROUND_TRIPS_S + work_s
        if spent > kind.deadline_s:
            continue
        served = min(batch.count, room_s / work_s)
        room_s -= served * work_s
        credit = kind.worth if spent <= kind.aim_s else kind.late_worth
        window = windows[int(batch.asked_at // WINDOW_S)]
        window[0] += served * credit * (UNDISTURBED if spent <= kind.aim_s
                                        else 1)
        if batch.count - served > 1e-9:
            left.append(dataclasses.replace(batch, count=batch.count - served))
    return left


def compute_limit(site, day):
    """Returns (share of the whole day, mean of the two worst windows, windows)
    that can be earned at most."""
    kinds = read_kinds(site, day)
    outages, power = list_outages(site, day)
    targets = count_targets(site, day)
    services = {it["name"]: it for it in site["services"]}
    end = site["length_s"] + (RECOVERY_S if day.get("closing") else 0)
    windows = [[0.0, 0.0] for _ in range(math.ceil(end / WINDOW_S))]
    waiting = {name: [] for name in services}
    arrivals = []
    for step in range(int(end / STEP_S)):
        time = step * STEP_S
        for batch in make_batches(kinds, outages, time):
            windows[int(time // WINDOW_S)][1] += batch.count * batch.kind.worth
            if batch.reaches_at is not None:
                arrivals.append(batch)
        due = [it for it in arrivals if it.reaches_at <= time]
        arrivals = [it for it in arrivals if it.reaches_at > time]
        for name, service in services.items():
            waiting[name] += [it for it in due if it.kind.service == name]
            if power and power[0] <= time < power[1]:
                continue
            is_cold = power and power[1] <= time < power[1] + service["cold_s"]
            waiting[name] = serve(
                waiting[name], targets[name] * service["slots"] * STEP_S, time,
                service["cold_x"] if is_cold else 1.0, windows)
    shares = [earned / owed for earned, owed in windows if owed > 0]
    whole = sum(it[0] for it in windows) / sum(it[1] for it in windows)
    return whole, sum(sorted(shares)[:2]) / 2, shares


def main(words):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("days", nargs="*")
    arguments = parser.parse_args(words)
    try:
        site = tomllib.loads(arguments.site.read_text())
        days = {it["name"]: it for it in site["day"]}
        unknown = [it for it in arguments.days if it not in days]
        if unknown:
            raise LimitError(f"no day '{unknown[0]}'; there are "
                             + ", ".join(days))
    except (OSError, KeyError, tomllib.TOMLDecodeError, LimitError) as error:
        print(f"limit.py: {arguments.site}: {error}", file=sys.stderr)
        return 2
    goal = site["goal"]
    print(f"{'day':<12} {'day share':>9} {'windows':>8} {'before prices':>13}  "
          "windows below 0.99")
    for name in arguments.days or days:
        whole, worst, shares = compute_limit(site, days[name])
        worth = (goal["mean"] + goal["class"]) * whole + goal["window"] * worst
        low = [f"{int(n * WINDOW_S)} s {it:.2f}"
               for n, it in enumerate(shares) if it < 0.99]
        print(f"{name:<12} {whole:9.3f} {worst:8.3f} {worth:13.3f}  "
              + ", ".join(low))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
