"""Starts stand-ins as child processes, for tests and benchmarks."""

from json import loads
from os import environ
from subprocess import PIPE, Popen, TimeoutExpired
from sys import executable
from typing import Any
from urllib.request import Request, urlopen

from msgspec.json import decode, encode

TIMEOUT_S = 5.0


class StandIn:
    """One running stand-in process."""

    def __init__(self, module: str, *arguments: str) -> None:
        self._process = Popen(
            [executable, "-m", f"hornbeamfold.standins.{module}", "--exit-on-eof", *arguments],
            stdin=PIPE,
            stdout=PIPE,
            env={**environ, "PYTHONWARNINGS": "ignore"},
        )
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            self.stop()
            raise RuntimeError(f"the stand-in {module} ended before it was ready")
        self._ready: dict[str, Any] = loads(line)

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def url(self) -> str:
        """The URL of the service."""
        return f"http://{self._ready['address']}"

    @property
    def addresses(self) -> dict[str, str]:
        """The worker addresses by worker name; empty for other stand-ins."""
        addresses: dict[str, str] = self._ready.get("addresses", {})
        return addresses

    def control(self, path: str, body: Any = None) -> Any:
        """Call a path under /control/: GET without a body, POST with one."""
        request = Request(
            f"http://{self._ready['control']}/control/{path}",
            data=None if body is None else encode(body),
            headers={"Content-Type": "application/json"},
        )
        with urlopen(request, timeout=TIMEOUT_S) as reply:
            return decode(reply.read())

    def set_faults(self, **faults: Any) -> None:
        """Set the given faults and keep the others."""
        self.control("faults", faults)

    def reset(self) -> None:
        """Clear all faults."""
        self.control("reset", {})

    def stop(self) -> int:
        """Terminate the process and return its exit code."""
        self._process.terminate()
        try:
            code = self._process.wait(TIMEOUT_S)
        except TimeoutExpired:
            self._process.kill()
            code = self._process.wait()
        for pipe in (self._process.stdin, self._process.stdout):
            if pipe is not None:
                pipe.close()
        return code
