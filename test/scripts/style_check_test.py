"""Tests of scripts/style-check: what it finds, and what it leaves alone."""
import pathlib
import subprocess
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).parents[2] / "scripts" / "style-check"


class StyleCheckTest(unittest.TestCase):
    def run_on(self, text, pending=None):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "scripts").mkdir()
            (root / "One.cpp").write_text(text)
            if pending is not None:
                (root / "scripts" / "style-check.pending").write_text(pending)
            done = subprocess.run(
                [SCRIPT, "--root", folder, "One.cpp"], capture_output=True, text=True)
            return done.returncode, done.stdout

    def test_plain_reasons_are_left_alone(self):
        code, _ = self.run_on("// Sent again: the acknowledgement may be lost.\n"
                              "constexpr int kTimeoutMs = 40;\n")
        self.assertEqual(code, 0)

    def test_figures_are_found_across_lines(self):
        code, out = self.run_on("// The percentile is 1 s instead of\n// 2 s.\n")
        self.assertEqual(code, 1)
        self.assertIn("One.cpp:1: a measured figure", out)

    def test_history_and_bench_words_are_found(self):
        for text in ("// It used to be a list.\n", "/** See issue 12. */\n",
                     "// Found by the hunts.\n"):
            code, out = self.run_on(text)
            self.assertEqual(code, 1, text + out)

    def test_code_and_texts_are_no_comments(self):
        code, out = self.run_on('Log("3 of 4 // used to be");\nint a = 3; // apples\n')
        self.assertEqual(code, 0, out)

    def test_a_pending_file_is_passed_over_until_it_is_clean(self):
        code, _ = self.run_on("// It used to be a list.\n", "One.cpp\n")
        self.assertEqual(code, 0)
        code, out = self.run_on("// A list.\n", "One.cpp\n")
        self.assertEqual(code, 1)
        self.assertIn("take it off", out)


if __name__ == "__main__":
    unittest.main()
