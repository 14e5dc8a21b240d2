"""Shared parts of the tests of the stand-ins."""

from collections.abc import Callable
from time import monotonic, sleep
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from msgspec.json import decode, encode

BOUND_S = 10.0


def call(
    url: str, body: Any = None, method: str = "", headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Call a stand-in: GET without a body, POST with one."""
    request = Request(url, None if body is None else encode(body), headers or {})
    request.method = method or request.get_method()
    try:
        with urlopen(request, timeout=BOUND_S) as reply:
            return reply.status, decode(reply.read())
    except HTTPError as error:
        with error:
            return error.code, decode(error.read())


def wait_until(condition: Callable[[], bool]) -> None:
    """Ask for the condition again and again until it holds."""
    until = monotonic() + BOUND_S
    while not condition():
        if monotonic() > until:
            raise AssertionError("the condition did not come true")
        sleep(0.01)
