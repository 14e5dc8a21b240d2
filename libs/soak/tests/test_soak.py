"""A short seeded soak: real processes, random faults, and every promise kept."""

import os
import subprocess
import sys
import unittest

# Seed, seconds and instances, with what each is for.
SCHEDULES = (
    (1, 15, 4),  # the coordinator killed and paused, the store away, a worker that crashes
    # Second runs after an instance coordinated again with an old list of workers (7 in 40 s).
    (22, 40, 6),
    # SIGHUP while an instance started ended its process.
    (114, 22, 4),
)
# Start, faults, the last calls and the bound on the end of what was accepted.
TIMEOUT_S = 180


class SoakTest(unittest.TestCase):
    def test_no_promise_is_broken(self) -> None:
        for seed, seconds, instances in SCHEDULES:
            with self.subTest(seed=seed):
                done = self.soak("--seed", seed, "--seconds", seconds, "--instances", instances)
                self.assertEqual(done.returncode, 0, done.stdout + done.stderr)

    def soak(self, *arguments: object) -> subprocess.CompletedProcess:
        """Run a soak to its end."""
        return subprocess.run(
            [sys.executable, "-m", "hornbeamfold.soak", *map(str, arguments)],
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
            env=dict(os.environ),
        )


if __name__ == "__main__":
    unittest.main()
