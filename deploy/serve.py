"""Starts an instance from a checkout: adds the libraries of the workspace to the module path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(path) for path in sorted(ROOT.glob("libs/*/src"))]
sys.path.insert(0, str(ROOT / "platform" / "src"))

from hornbeamfold.platform.main import main  # noqa: E402

if __name__ == "__main__":
    main()
