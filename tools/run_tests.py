"""Runs the unittest suites of the given libraries and prints a summary line.

Each library is tested in its own process: eventlet, asyncio and the metrics keep process-wide
state, so suites that share a process would interfere with each other. Suites in a folder `alone`
measure a process under load; they run one at a time after all others.
"""

import re
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Several suites start processes and have time bounds, so only a few run at once.
PARALLEL = 3
TESTS = "tests"
ALONE = "tests/alone"
CLOSING = re.compile(r"^closing: (\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)


@dataclass(frozen=True)
class Counts:
    """Number of tests that passed, failed and were skipped."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0


def known_red() -> list[str]:
    """Return the ids (library:test) of the known failures listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    return re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), flags=re.MULTILINE)


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the test cases of a nested suite in order."""
    cases: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases.extend(flatten(item))
            continue
        cases.append(item)
    return cases


def run_library(lib: str, folder: str) -> int:
    """Run the tests in a folder of one library in this process."""
    tests = ROOT / lib / folder
    sys.path.insert(0, str(tests))
    red = known_red()
    suite = unittest.TestSuite()
    left_out = 0
    for path in sorted(tests.glob("test_*.py")):
        for case in flatten(unittest.TestLoader().loadTestsFromName(path.stem)):
            if f"{Path(lib).name}:{case.id()}" in red:
                left_out += 1
                print(f"known red, passed over: {Path(lib).name}:{case.id()}")
                continue
            suite.addTest(case)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"closing: {passed} passed, {failed} failed, {skipped + left_out} skipped", flush=True)
    return 0 if failed == 0 else 1


def run_apart(lib: str, folder: str) -> Counts:
    """Run a folder of tests in a child process and print its output as one block."""
    child = subprocess.run(
        [sys.executable, __file__, "--library", lib, folder],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
        check=False,
    )
    print(f"== {lib}/{folder}\n{child.stdout}", flush=True)
    closing = CLOSING.search(child.stdout)
    if closing is None:
        return Counts(failed=1)
    return Counts(*(int(number) for number in closing.groups()))


def with_tests(libs: list[str], folder: str) -> list[str]:
    """Return the libraries that have tests in the folder."""
    return [lib for lib in libs if any((ROOT / lib / folder).glob("test_*.py"))]


def main() -> int:
    """Run the suites; return 0 if all passed and at least one test ran."""
    libs = sys.argv[1:]
    with ThreadPoolExecutor(PARALLEL) as pool:
        counts = list(pool.map(lambda lib: run_apart(lib, TESTS), with_tests(libs, TESTS)))
    counts += [run_apart(lib, ALONE) for lib in with_tests(libs, ALONE)]
    passed = sum(one.passed for one in counts)
    failed = sum(one.failed for one in counts)
    skipped = sum(one.skipped for one in counts)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(run_library(*sys.argv[2:]) if sys.argv[1] == "--library" else main())
