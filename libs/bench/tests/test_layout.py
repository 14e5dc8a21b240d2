"""Tests of the layout of the workspace."""

import ast
import re
import tomllib
import unittest
from pathlib import Path

LIBS = Path(__file__).resolve().parents[2]
# From the lowest to the highest; a library may use only those before it.
ORDER = (
    "model",
    "telemetry",
    "settings",
    "logclient",
    "placement",
    "view",
    "membership",
    "routing",
    "workers",
    "rpc",
    "daemon",
    "cli",
    "standins",
    "bench",
)


def imported(path: Path) -> set[str]:
    """Return the libraries of this workspace that a module imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        else:
            continue
        found.update(name.split(".")[1] for name in names if re.match(r"hornbeamfold\.\w", name))
    return found


class LayoutTest(unittest.TestCase):
    def test_dependencies_point_one_way_and_are_declared(self) -> None:
        """Guards against cycles between libraries and against undeclared imports."""
        self.assertEqual({path.name for path in LIBS.iterdir() if path.is_dir()}, set(ORDER))
        for position, lib in enumerate(ORDER):
            project = tomllib.loads((LIBS / lib / "pyproject.toml").read_text())["project"]
            declared = {
                name.removeprefix("hornbeamfold-")
                for name in project["dependencies"]
                if name.startswith("hornbeamfold-")
            }
            used: set[str] = set()
            for path in (LIBS / lib / "src").rglob("*.py"):
                used |= imported(path)
            used.discard(lib)
            with self.subTest(lib=lib):
                self.assertLessEqual(used, set(ORDER[:position]))
                self.assertLessEqual(used, declared)
                # The trials of the last library come and go with what they measure.
                self.assertTrue(lib == ORDER[-1] or declared <= used, declared - used)

    def test_data_classes_are_frozen(self) -> None:
        """Guards against data that changes behind the back of a decision."""
        for path in LIBS.glob("*/src/**/*.py"):
            text = path.read_text()
            for found in re.finditer(r"^\s*@dataclass(\(.*\))?$", text, flags=re.MULTILINE):
                with self.subTest(path=path.name):
                    self.assertIn("frozen=True", found.group(0))

    def test_modules_open_with_a_doc_string(self) -> None:
        """Guards against modules that do not say their one job, and against notices."""
        for path in LIBS.glob("*/src/**/*.py"):
            if path.name.endswith(("_pb2.py", "_grpc.py")):
                continue
            with self.subTest(path=path.name):
                text = path.read_text()
                self.assertTrue(ast.get_docstring(ast.parse(text)))
                self.assertNotRegex(text.lower(), "copyright|licensed under|spdx")
