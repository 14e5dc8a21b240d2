"""Helpers shared by the tests of the stand-ins."""

from collections.abc import Callable
from time import monotonic, sleep
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from msgspec.json import decode, encode

TIMEOUT_S = 10.0


def call(
    url: str, body: Any = None, method: str = "", headers: dict[str, str] | None = None
) -> tuple[int, Any]:
    """Call a stand-in, by default with GET without a body and with POST with one."""
    request = Request(url, None if body is None else encode(body), headers or {})
    request.method = method or request.get_method()
    try:
        with urlopen(request, timeout=TIMEOUT_S) as reply:
            return reply.status, decode(reply.read())
    except HTTPError as error:
        with error:
            return error.code, decode(error.read())


def wait_until(condition: Callable[[], bool]) -> None:
    """Poll the condition until it holds."""
    deadline = monotonic() + TIMEOUT_S
    while not condition():
        if monotonic() > deadline:
            raise AssertionError("the condition did not hold within the timeout")
        sleep(0.01)
