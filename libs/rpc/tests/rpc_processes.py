"""Starts the processes that the tests of this library call."""

import subprocess
import sys
import unittest
from pathlib import Path


def start_script(test: unittest.TestCase, script: str, *arguments: str) -> "subprocess.Popen[str]":
    """Start a script of this folder; its process is killed when the test ends."""
    process = subprocess.Popen(
        [sys.executable, "-W", "ignore", str(Path(__file__).with_name(script)), *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )

    def kill() -> None:
        process.kill()
        process.communicate()

    test.addCleanup(kill)
    return process


def read_line(process: "subprocess.Popen[str]") -> str:
    """Return the next line that a process prints."""
    assert process.stdout is not None
    return process.stdout.readline().strip()


def send_newline(process: "subprocess.Popen[str]") -> None:
    """Resume a process that waits for a line on its standard input."""
    assert process.stdin is not None
    process.stdin.write("\n")
    process.stdin.flush()
