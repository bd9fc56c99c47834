"""Tests of support/measure.py and support/limit.py on recorded entries."""

import contextlib
import io
import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "support"))
import limit  # noqa: E402
import measure  # noqa: E402

# An entry as the bench wrote it, without the parts that aren't read.
ENTRY = json.loads("""
{"v": 1, "id": "9d57f31b", "cmd": "run", "why": "set base: untouched",
 "site": "ndl-nett", "ok": true, "error": null, "days": [
  {"G": 0.8617, "name": "scale-2", "seed": 3, "rules": {}, "fault": null,
   "served": 0.952, "refused": 0.0, "failed": 0.0326,
   "parts": [["whole day", 0.75, 0.952], ["worst windows", 0.15, 0.5094],
             ["worst class", 0.1, 0.9481]],
   "prices": [["machine-seconds", 1229.224, 0.0115],
              ["GB between zones", 0.004, 0.0054]]}]}
""")

SITE = """
length_s = 4.0
machines = [ { class = "side", app = "s", count = 2 } ]
services = [ { name = "s", slots = 5, cold_s = 2.0, cold_x = 1.6 } ]
traffic = [ { zone = "a", mix = { k = 1 }, per_s = 100.0 } ]
[[classes]]
name = "k"
aim_ms = 200
deadline_ms = 1200
worth = 1
late_worth = 0.5
service = "s"
work_ms = { mean = 40.0 }
[goal]
mean = 0.75
window = 0.15
class = 0.1
[[day]]
name = "quiet-1"
[[day]]
name = "trouble-1"
closing = { kind = "power_off_all", down_s = 1.0 }
"""


def make_entry(name, seed, worth, **changes):
    entry = json.loads(json.dumps(ENTRY))
    entry.update(id=f"{name}-{seed}-{worth}", why=f"set {name}: a reason")
    entry["days"][0].update(seed=seed, G=worth, **changes)
    return entry


class Journal(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name)
        self.entries = 0

    def write(self, entry):
        self.entries += 1
        text = entry if isinstance(entry, str) else json.dumps(entry)
        (self.path / f"{self.entries:03}.json").write_text(text)

    def run_tool(self, *words):
        out, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            try:
                status = measure.main(["--journal", str(self.path), *words])
            except SystemExit as end:
                status = end.code
        return status, out.getvalue(), errors.getvalue()


class Reading(Journal):
    def test_recorded_entry_is_read(self):
        self.write(ENTRY)
        plays = measure.load_set(self.path, "base")
        play = plays["ndl-nett", "scale-2"][3]
        self.assertEqual(play.worth, 0.8617)
        self.assertEqual(play.parts,
                         {"day": 0.952, "windows": 0.5094, "class": 0.9481})
        self.assertAlmostEqual(play.prices, 0.0169)
        self.assertEqual(play.failed, 0.0326)
        self.assertEqual(play.broken, {})

    def test_entries_of_other_sets_and_failed_plays_are_left_out(self):
        self.write(make_entry("base", 1, 0.8))
        self.write(make_entry("baseline", 2, 0.7))
        self.write({**make_entry("base", 3, 0.6), "ok": False})
        plays = measure.load_set(self.path, "base")
        self.assertEqual(list(plays["ndl-nett", "scale-2"]), [1])

    def test_later_play_of_a_seed_replaces_an_earlier_one(self):
        self.write(make_entry("base", 1, 0.8))
        self.write(make_entry("base", 1, 0.9))
        plays = measure.load_set(self.path, "base")
        self.assertEqual(plays["ndl-nett", "scale-2"][1].worth, 0.9)

    def test_broken_rules_and_faults_are_named_and_set_the_status(self):
        self.write(make_entry("base", 1, 0.0, rules={"FLOW": 3}))
        self.write(make_entry("base", 2, 0.0, fault="a process doesn't start"))
        status, out, _ = self.run_tool("show", "--set", "base")
        self.assertEqual(status, 1)
        self.assertIn("broken: FLOW in 1, fault: a process doesn't start in 1",
                      out)


class Comparing(Journal):
    def write_sets(self, earlier, later):
        for seed, worth in enumerate(earlier):
            self.write(make_entry("old", seed, worth))
        for seed, worth in enumerate(later):
            self.write(make_entry("new", seed, worth))
        plays = [measure.load_set(self.path, it)["ndl-nett", "scale-2"]
                 for it in ("new", "old")]
        return measure.compare(*plays)

    def test_difference_beyond_the_spread_is_marked(self):
        difference, mark = self.write_sets([0.80, 0.81, 0.82],
                                           [0.84, 0.85, 0.86])
        self.assertAlmostEqual(difference, 0.04)
        self.assertEqual(mark, "*")

    def test_small_difference_of_the_same_sign_is_marked_otherwise(self):
        self.assertEqual(self.write_sets([0.80, 0.81, 0.83],
                                         [0.81, 0.82, 0.84])[1], "=")

    def test_difference_within_the_spread_has_no_mark(self):
        self.assertEqual(self.write_sets([0.80, 0.82], [0.82, 0.81])[1], " ")

    def test_one_seed_allows_no_verdict(self):
        self.assertEqual(self.write_sets([0.80], [0.90])[1], "?")


class BadInput(Journal):
    def assert_rejected(self, text, *words):
        status, _, errors = self.run_tool(*words)
        self.assertEqual(status, 2)
        self.assertEqual(errors.count("\n"), 1)
        self.assertIn(text, errors)

    def test_unknown_set(self):
        self.assert_rejected("no journal entry of set 'x'", "show", "--set", "x")

    def test_entry_that_was_cut_short(self):
        self.write(json.dumps(make_entry("base", 1, 0.8))[:200])
        self.assert_rejected("not a journal entry", "show", "--set", "base")

    def test_unknown_site(self):
        self.assert_rejected("unknown site: no.toml", "play", "--set", "x",
                             "--bench", "bench", "no.toml")

    def test_day_that_the_site_does_not_have(self):
        site = self.path / "site.toml"
        site.write_text(SITE)
        self.assert_rejected("no day 'x'; it has quiet-1, trouble-1", "play",
                             "--set", "x", "--bench", "bench", "--days", "x",
                             str(site))

    def test_play_that_was_cut_off_loses_no_other_figure(self):
        self.write(make_entry("x", 1, 0.8))
        site = self.path / "site.toml"
        site.write_text(SITE)
        status, out, errors = self.run_tool(
            "play", "--set", "x", "--bench", "/bin/false", "--days", "quiet-1",
            "--seeds", "1", str(site))
        self.assertEqual(status, 1)
        self.assertIn("0.800", out)
        self.assertIn("play failed: site.toml quiet-1 seed 1: exit code 1",
                      errors)


class Limit(unittest.TestCase):
    def compute(self, day, **changes):
        site = {**limit.tomllib.loads(SITE), **changes}
        days = {it["name"]: it for it in site["day"]}
        return limit.compute_limit(site, days[day])

    def test_undisturbed_day_is_served(self):
        whole, worst, _ = self.compute("quiet-1")
        self.assertAlmostEqual(whole, limit.UNDISTURBED)
        self.assertAlmostEqual(worst, limit.UNDISTURBED)

    def test_callers_of_an_outage_are_late_or_lost(self):
        _, _, shares = self.compute("trouble-1")
        # Down from 4.06 to 5.13 s: of the window's requests 0.53 are lost or
        # late, and those of the last 0.6 s reach the system with a copy.
        self.assertGreater(shares[2], 0.47 + 0.5 * 0.6 / 2 - 0.02)
        self.assertLess(shares[2], 0.47 + 0.5 * 0.8 / 2 + 0.02)
        self.assertGreater(shares[3], 0.99)

    def test_overload_is_served_up_to_the_room(self):
        # 10 slots of 40 ms serve 250 requests a second.
        site = limit.tomllib.loads(SITE)
        site["traffic"][0]["per_s"] = 500.0
        whole, _, _ = self.compute("quiet-1", traffic=site["traffic"])
        self.assertLess(whole, 0.56)
        self.assertGreater(whole, 0.49)

    def test_unknown_day_is_rejected(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "site.toml")
            path.write_text(SITE)
            errors = io.StringIO()
            with contextlib.redirect_stderr(errors):
                self.assertEqual(limit.main([str(path), "x"]), 2)
            self.assertIn("no day 'x'", errors.getvalue())


if __name__ == "__main__":
    unittest.main()
