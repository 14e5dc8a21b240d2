"""Runs a blocking call of the daemon for a gRPC handler and sends its outcome."""

import logging
from asyncio import shield
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import Any, TypeVar

from eventlet import Timeout, spawn
from google.protobuf.message import DecodeError

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.rpc.errors import send_refused

_logger = logging.getLogger("hornbeamfold.rpc")
# What a frontend may raise; eventlet's Timeout does not derive from Exception.
RAISED = (Exception, Timeout)
_END = object()

Input = TypeVar("Input")
Output = TypeVar("Output")


async def answer(
    stream: Any,
    read: Callable[[Any], Input | Refused],
    call: Callable[[Input], Output | Refused],
    write: Callable[[Output], Any],
) -> None:
    """Answer a unary call; the call is killed when the client cancels or its time is over."""
    await _answer(stream, read, call, write, _run)


async def answer_to_end(
    stream: Any,
    read: Callable[[Any], Input | Refused],
    call: Callable[[Input], Output | Refused],
    write: Callable[[Output], Any],
) -> None:
    """Answer a unary call that goes on after its client left.

    A call that changes something must not be killed between a log record and what follows it,
    for instance between a claim and the dispatch of its request.
    """
    await _answer(stream, read, call, write, lambda work: shield(_run(work)))


async def _answer(
    stream: Any,
    read: Callable[[Any], Input | Refused],
    call: Callable[[Input], Output | Refused],
    write: Callable[[Output], Any],
    run: Callable[[Callable[[], Any]], Awaitable[Any]],
) -> None:
    message = await receive(stream)
    given = message if isinstance(message, Refused) else read(message)
    if isinstance(given, Refused):
        await send_refused(stream, given)
        return

    def work(given: Input) -> Any:
        outcome = call(given)
        return outcome if isinstance(outcome, Refused) else write(outcome)

    reply = await run(guarded(partial(work, given)))
    if isinstance(reply, Refused):
        await send_refused(stream, reply)
        return
    await stream.send_message(reply)


async def answer_stream(
    stream: Any,
    read: Callable[[Any], Input | Refused],
    call: Callable[[Input], Iterator[Output | Refused]],
    write: Callable[[Output], Any],
) -> None:
    """Send what an iterator yields; each step runs in a green thread and waits there.

    The next step is taken only after the client's window took the last message.
    """
    message = await receive(stream)
    given = message if isinstance(message, Refused) else read(message)
    if isinstance(given, Refused):
        await send_refused(stream, given)
        return
    iterator: Any = await _run(guarded(partial(call, given)))
    if isinstance(iterator, Refused):
        await send_refused(stream, iterator)
        return

    def step() -> Any:
        outcome: Any = next(iterator, _END)
        return outcome if outcome is _END or isinstance(outcome, Refused) else write(outcome)

    try:
        while True:
            reply = await _run(guarded(step))
            if reply is _END:
                return
            if isinstance(reply, Refused):
                await send_refused(stream, reply)
                return
            await stream.send_message(reply)
    finally:
        # A client that leaves while a message is sent leaves the iterator between two steps.
        spawn(_close, iterator)


async def receive(stream: Any) -> Any:
    """Return the next message of a client, or the refusal of bytes that are none."""
    try:
        message = await stream.recv_message()
    except DecodeError:
        return Refused(ErrorKind.INVALID, "message: cannot be decoded by this schema")
    if message is None:
        return Refused(ErrorKind.INVALID, "message: is missing")
    return message


def guarded(work: Callable[[], Any]) -> Callable[[], Any]:
    """Return work that turns an exception into a refusal and a log line."""

    def run() -> Any:
        try:
            return work()
        except RAISED as error:
            _logger.exception("call_failed")
            detail = f"the instance failed with {type(error).__name__}"
            return Refused(ErrorKind.INTERNAL, detail)

    return run


async def _run(work: Callable[[], Any]) -> Any:
    return await spawn(work)


def _close(iterator: Any) -> None:
    close = getattr(iterator, "close", None)
    if close is None:
        return
    try:
        close()
    except ValueError:
        # A step that was killed is still ending in the iterator, which closes it as well.
        return
    except RAISED:
        _logger.exception("close_failed")
