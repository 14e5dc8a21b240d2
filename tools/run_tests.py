"""Runs the unittest suites of the given libraries and prints one closing line."""

import re
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists as failing."""
    if not KNOWN_RED.exists():
        return []
    return re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), flags=re.MULTILINE)


def collect(libs: list[str]) -> unittest.TestSuite:
    """Load the tests of each library from its tests folder."""
    suite = unittest.TestSuite()
    for lib in libs:
        tests = ROOT / lib / "tests"
        if not tests.is_dir() or not any(tests.glob("test_*.py")):
            continue
        # Test modules of different libraries may share a name, so each folder gets a loader.
        sys.path.insert(0, str(tests))
        for path in sorted(tests.glob("test_*.py")):
            suite.addTests(unittest.TestLoader().loadTestsFromName(path.stem))
        sys.path.remove(str(tests))
        for name, module in list(sys.modules.items()):
            if str(getattr(module, "__file__", None) or "").startswith(str(tests)):
                del sys.modules[name]
    return suite


def without(suite: unittest.TestSuite, names: list[str]) -> tuple[unittest.TestSuite, int]:
    """Split off the listed tests; return the rest and how many were left out."""
    kept = unittest.TestSuite()
    left_out = 0
    for case in flatten(suite):
        if case.id() in names:
            left_out += 1
            print(f"known red, passed over: {case.id()}")
            continue
        kept.addTest(case)
    return kept, left_out


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the test cases of a nested suite in order."""
    cases: list[unittest.TestCase] = []
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            cases.extend(flatten(item))
            continue
        cases.append(item)  # type: ignore[arg-type]
    return cases


def main() -> int:
    """Run the suites; return 0 if all passed and at least one ran."""
    suite, left_out = without(collect(sys.argv[1:]), known_red())
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped) + left_out
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
