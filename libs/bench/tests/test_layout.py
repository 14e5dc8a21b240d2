"""Tests of the workspace layout: dependencies, frozen data classes and the adapter."""

import ast
import re
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
# The adapter to the users' platform and its emulator are outside the libs folder.
LIBRARY_FOLDERS = {
    **{path.name: path for path in (ROOT / "libs").iterdir() if path.is_dir()},
    "platform": ROOT / "platform",
    "emulator": ROOT / "platform" / "emulator",
}
SOURCE_FILES = [
    path for folder in LIBRARY_FOLDERS.values() for path in (folder / "src").rglob("*.py")
]
# From the lowest layer to the highest; a library may import only those before it.
DEPENDENCY_ORDER = (
    "decoding",
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
    "admission",
    "batch",
    "configcheck",
    "ledger",
    "relay",
    "interference",
    "scheduling",
    "estimates",
    "gateway",
    "coordinator",
    "platform",
    "emulator",
    "soak",
)
# Names of the platform's wire format and settings, which only the adapter may use.
PLATFORM_NAMES = re.compile(
    r"run-start|run-stop|log-append|log-read|log-newest|fencing_token|hold_max_ms|"
    r"requested_memory_mb|guaranteed_gpus|max_per_server|rack_local|may_miss|\btarget_ms|"
    r"HORNBEAMFOLD_BOOT|keyed\."
)
ADAPTER_LIBRARIES = ("platform", "emulator")


def imported_libraries(path: Path) -> set[str]:
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
        """Guards against cycles between libraries, undeclared imports and unused dependencies."""
        self.assertEqual(set(LIBRARY_FOLDERS), set(DEPENDENCY_ORDER))
        for position, lib in enumerate(DEPENDENCY_ORDER):
            project = tomllib.loads((LIBRARY_FOLDERS[lib] / "pyproject.toml").read_text())[
                "project"
            ]
            declared = {
                name.removeprefix("hornbeamfold-")
                for name in project["dependencies"]
                if name.startswith("hornbeamfold-")
            }
            used: set[str] = set()
            for path in (LIBRARY_FOLDERS[lib] / "src").rglob("*.py"):
                used |= imported_libraries(path)
            used.discard(lib)
            with self.subTest(lib=lib):
                self.assertLessEqual(used, set(DEPENDENCY_ORDER[:position]))
                self.assertLessEqual(used, declared)
                # The trials of bench change often, so it may declare unused dependencies.
                self.assertTrue(lib == "bench" or declared <= used, declared - used)

    def test_data_classes_are_frozen(self) -> None:
        """Guards against data that changes while a decision is based on it."""
        for path in SOURCE_FILES:
            text = path.read_text()
            for found in re.finditer(r"^\s*@dataclass(\(.*\))?$", text, flags=re.MULTILINE):
                with self.subTest(path=path.name):
                    self.assertIn("frozen=True", found.group(0))

    def test_names_of_the_platform_stay_in_its_adapter(self) -> None:
        """Guards against names of the platform's wire format in decision code."""
        for lib, folder in LIBRARY_FOLDERS.items():
            if lib in ADAPTER_LIBRARIES:
                continue
            for path in (folder / "src").rglob("*.py"):
                with self.subTest(path=path.name):
                    self.assertIsNone(PLATFORM_NAMES.search(path.read_text()))

    def test_the_adapter_is_small(self) -> None:
        """Guards against decisions in the adapter: it must be less than an eighth of all code."""
        lines = dict.fromkeys(LIBRARY_FOLDERS, 0)
        for lib, folder in LIBRARY_FOLDERS.items():
            for path in (folder / "src").rglob("*.py"):
                lines[lib] += sum(1 for line in path.read_text().splitlines() if line.strip())
        self.assertLess(lines["platform"] * 8, sum(lines.values()))

    def test_modules_open_with_a_doc_string(self) -> None:
        """Guards against modules without a doc string, and against copyright or licence notices."""
        for path in SOURCE_FILES:
            if path.name.endswith(("_pb2.py", "_grpc.py")):
                continue
            with self.subTest(path=path.name):
                text = path.read_text()
                self.assertTrue(ast.get_docstring(ast.parse(text)))
                self.assertNotRegex(text.lower(), "copyright|licensed under|spdx")
