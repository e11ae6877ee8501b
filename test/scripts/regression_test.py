"""What scripts/regression says of hunted days, with a player of our own.

Symptom: a hunted day missed a floor, and the table said that no rule was broken.
Sequence: the player's summary counts broken rules; the day's entry in the journal
has the missed floor.
"""
import os
import pathlib
import shutil
import subprocess
import tempfile
import unittest

SCRIPTS = pathlib.Path(__file__).parents[2] / "scripts"
PLAYER = """#!/usr/bin/env bash
set -eu
case $1 in
score)
  echo "score on the standard days of some: 0.9"
  echo "GATE passed"
  echo '{"site":"some","ok":true,"days":[]}' >journal/1-score.json
  ;;
hunt)
  echo "2 days on some, 0 with a rule broken"
  cat >journal/2-hunt.json <<'ENTRY'
%s
ENTRY
  ;;
esac
"""
SHORT = ('{"site":"some","ok":%s,"days":['
         '{"name":"a","gate":false,"rules":{},"fault":null,"short":["0.2 of 0.25"]},'
         '{"name":"b","gate":true,"rules":{},"fault":null,"short":[]}]}')


class RegressionTest(unittest.TestCase):
    def table(self, entry):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            shutil.copytree(SCRIPTS, folder / "scripts")
            (folder / "journal").mkdir()
            player = folder / "player"
            player.write_text(PLAYER % entry)
            player.chmod(0o755)
            done = subprocess.run(
                [folder / "scripts" / "regression", player, folder, "--hunt"],
                env={**os.environ, "OUT": str(folder / "out")},
                capture_output=True, text=True, check=True)
            return done.stdout.splitlines()[2:]

    def test_a_missed_floor_of_a_hunted_day_is_in_the_table(self):
        rows = self.table(SHORT % "true")
        self.assertTrue(rows)
        for row in rows:
            self.assertIn("| passed | 1 of 2 days missed their gate |", row)

    def test_a_hunt_that_did_not_finish_is_told(self):
        for row in self.table(SHORT % "false"):
            self.assertIn("| not finished |", row)


if __name__ == "__main__":
    unittest.main()
