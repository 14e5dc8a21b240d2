"""Tests of long-lived functions that are called again after an unexpected exception."""

import unittest
import warnings
from unittest import mock

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

from hornbeamfold.telemetry import keep_running, threads  # noqa: E402


class KeepRunningTest(unittest.TestCase):
    def test_a_function_that_raises_is_logged_and_called_again(self) -> None:
        """Guards against a process that goes on without one of its long-lived threads."""
        calls: list[int] = []

        def work(value: int) -> None:
            calls.append(value)
            if len(calls) < 3:
                raise RecursionError("odd")

        with (
            mock.patch.object(threads, "RESTART_DELAY_MS", 1),
            self.assertLogs("hornbeamfold.threads", "ERROR") as logs,
        ):
            keep_running(work)(7)
        self.assertEqual(calls, [7, 7, 7])
        self.assertEqual([line.getMessage() for line in logs.records], ["unexpected_error"] * 2)

    def test_the_thread_pauses_before_each_further_call(self) -> None:
        """Guards against a loop that spins while its function fails at once."""
        pauses: list[float] = []

        def stop_after_three(seconds: float) -> None:
            pauses.append(seconds)
            if len(pauses) == 3:
                raise eventlet.Timeout

        def work() -> None:
            raise ValueError("odd")

        with (
            mock.patch.object(threads, "sleep", stop_after_three),
            self.assertLogs("hornbeamfold.threads", "ERROR"),
            self.assertRaises(eventlet.Timeout),
        ):
            keep_running(work)()
        self.assertEqual(pauses, [threads.RESTART_DELAY_MS / 1_000] * 3)


if __name__ == "__main__":
    unittest.main()
