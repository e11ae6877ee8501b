"""What scripts/missed-days says of journal entries.

Symptom: too little was served on a hunted day, and nobody saw it. The hunt's summary
counted broken rules, and no rule had broken.
"""
import json
import pathlib
import subprocess
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).parents[2] / "scripts" / "missed-days"


def day(name, gate=True, rules=None, short=()):
    return {"name": name, "gate": gate, "rules": rules or {}, "fault": None,
            "short": list(short)}


class MissedDaysTest(unittest.TestCase):
    def run_on(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "entry.json"
            path.write_text(text)
            return subprocess.run([SCRIPT, path], capture_output=True, text=True,
                                  check=False)

    def entry(self, *days, finished=True):
        return json.dumps({"site": "some", "ok": finished, "days": days})

    def test_a_missed_floor_counts_without_a_broken_rule(self):
        done = self.run_on(self.entry(
            day("quiet"), day("heavy", gate=False, short=["0.21; the floor is 0.25"])))
        self.assertEqual(done.returncode, 1)
        self.assertIn("some heavy: 0.21; the floor is 0.25", done.stdout)
        self.assertIn("1 of 2 days missed their gate", done.stdout)

    def test_a_broken_rule_counts(self):
        done = self.run_on(self.entry(day("one", gate=False, rules={"LOST": 2})))
        self.assertIn("some one: LOST 2 times", done.stdout)

    def test_days_that_hold_are_no_fault(self):
        done = self.run_on(self.entry(day("one"), day("two")))
        self.assertEqual(done.returncode, 0)
        self.assertIn("0 of 2 days missed their gate", done.stdout)

    def test_a_play_that_did_not_finish_says_nothing_of_its_days(self):
        done = self.run_on(self.entry(day("one"), finished=False))
        self.assertEqual(done.returncode, 2)
        self.assertIn("did not finish", done.stderr)

    def test_what_is_no_entry_is_told(self):
        for text in ("", "{}", '{"days": 3, "site": "some"}'):
            done = self.run_on(text)
            self.assertEqual(done.returncode, 2)
            self.assertIn("missed-days:", done.stderr)


if __name__ == "__main__":
    unittest.main()
