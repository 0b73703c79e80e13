"""The examples run, and examples/README.md lists them all."""

import glob
import os
import subprocess
import unittest

from harness import BUILD, ROOT

EXAMPLES = os.path.join(ROOT, "examples")


class ExamplesTest(unittest.TestCase):

    def run_example(self, *words):
        return subprocess.run(words, env={**os.environ, "SAS_BUILD": BUILD},
                              stdout=subprocess.PIPE,
                              stderr=subprocess.STDOUT, text=True,
                              timeout=120)

    def test_every_script_succeeds(self):
        for path in sorted(glob.glob(EXAMPLES + "/[0-9]*.sh")):
            with self.subTest(os.path.basename(path)):
                done = self.run_example(path)
                self.assertEqual(done.returncode, 0, done.stdout)

    def test_sheets_are_checked_without_a_process(self):
        program = BUILD + "/bin/example_09-check-sheet"
        for name in ("hottes", "qureshi"):
            done = self.run_example(program, "%s/%s.toml" % (EXAMPLES, name),
                                    "%s/%s-morning.csv" % (EXAMPLES, name))
            self.assertEqual((done.returncode, done.stdout),
                             (0, "6 intentions\n"))
        other = self.run_example(program, EXAMPLES + "/minimal.toml",
                                 EXAMPLES + "/hottes-morning.csv")
        self.assertEqual(other.returncode, 1)
        self.assertIn("row 2, column service", other.stdout)

    def test_no_caller_moves_back_while_a_share_rises(self):
        done = self.run_example(BUILD + "/bin/example_10-share")
        self.assertEqual(done.returncode, 0)
        self.assertIn("went back: 0", done.stdout)

    def test_the_page_lists_every_example(self):
        with open(EXAMPLES + "/README.md") as page:
            text = page.read()
        for path in glob.glob(EXAMPLES + "/[0-9]*"):
            self.assertIn("`%s`" % os.path.basename(path), text)


if __name__ == "__main__":
    unittest.main()
