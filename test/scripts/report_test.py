#!/usr/bin/env python3
"""Tests of scripts/report: what it reads, and what it says of bad input."""
import pathlib
import subprocess
import sys
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "report"
LINES = """\
  -1.0 n1/control time=2026-12-02T10:00:00.000Z level=info event=1001 name=LeaderElected process=n1 text="term=2"
not one of ours
time=2026-12-02T10:00:01.000Z level=info event=2006 name=SettingsTaken process=n2 revision=1 version=7 routes=3
time=2026-12-02T10:00:02.000Z level=info event=5007 name=RequestEnded process=n2 request=a route=r1 status=200 reason=whole first_ms=80.5
time=2026-12-02T10:00:03.000Z level=info event=5007 name=RequestEnded process=n2 request=b route=none status=503 reason="no settings <yet>" first_ms=0
"""


def run(text):
    return subprocess.run([sys.executable, SCRIPT], input=text,
                          capture_output=True, text=True, check=False)


class ReportTest(unittest.TestCase):
    def test_page_holds_what_the_lines_say(self):
        done = run(LINES)
        self.assertEqual(done.returncode, 0, done.stderr)
        for expected in ("A run of 3.0 s", "4 log lines", "LeaderElected",
                         "503 no settings &lt;yet&gt;", "r1, 95 in 100",
                         "Settings in force"):
            self.assertIn(expected, done.stdout)

    def test_input_without_log_lines_is_refused_with_what_to_do(self):
        done = run("nothing here\n")
        self.assertNotEqual(done.returncode, 0)
        self.assertIn("expected lines with time= and event=", done.stderr)

    def test_lines_that_are_cut_are_passed_over(self):
        done = run(LINES + "time=2026-12-02T10:00:04.000Z level=info eve\n")
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("4 log lines", done.stdout)


if __name__ == "__main__":
    unittest.main()
