"""Runs blocking calls of the daemon for gRPC handlers and sends their outcomes."""

import logging
from asyncio import shield
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import Any, TypeVar

from eventlet import Timeout, spawn
from google.protobuf.message import DecodeError

from hornbeamfold.model.errors import ErrorKind, Refused
from hornbeamfold.rpc.errors import send_refusal

_logger = logging.getLogger("hornbeamfold.rpc")
# Exceptions of a front end that become refusals; eventlet's Timeout does not derive from Exception.
FRONTEND_EXCEPTIONS = (Exception, Timeout)
_END = object()

Input = TypeVar("Input")
Output = TypeVar("Output")


async def answer_unary(
    stream: Any,
    read: Callable[[Any], Input | Refused],
    call: Callable[[Input], Output | Refused],
    write: Callable[[Output], Any],
) -> None:
    """Answer a unary call; its work is killed if the client cancels or the deadline passes."""
    await _answer_unary(stream, read, call, write, _run_in_green_thread)


async def answer_uncancelled(
    stream: Any,
    read: Callable[[Any], Input | Refused],
    call: Callable[[Input], Output | Refused],
    write: Callable[[Output], Any],
) -> None:
    """Answer a unary call whose work continues after the client has disconnected.

    A call that changes something must not be killed between a log record and the step that follows
    it, for instance between a claim and the dispatch of its request.
    """
    await _answer_unary(stream, read, call, write, lambda work: shield(_run_in_green_thread(work)))


async def _answer_unary(
    stream: Any,
    read: Callable[[Any], Input | Refused],
    call: Callable[[Input], Output | Refused],
    write: Callable[[Output], Any],
    run: Callable[[Callable[[], Any]], Awaitable[Any]],
) -> None:
    message = await receive_message(stream)
    arguments = message if isinstance(message, Refused) else read(message)
    if isinstance(arguments, Refused):
        await send_refusal(stream, arguments)
        return

    def work(arguments: Input) -> Any:
        outcome = call(arguments)
        return outcome if isinstance(outcome, Refused) else write(outcome)

    reply = await run(catch_exceptions(partial(work, arguments)))
    if isinstance(reply, Refused):
        await send_refusal(stream, reply)
        return
    await stream.send_message(reply)


async def answer_stream(
    stream: Any,
    read: Callable[[Any], Input | Refused],
    call: Callable[[Input], Iterator[Output | Refused]],
    write: Callable[[Output], Any],
) -> None:
    """Send the items of an iterator; each step runs, and may block, in a green thread.

    The next step starts only after the flow control window of the client has accepted the previous
    message.
    """
    message = await receive_message(stream)
    arguments = message if isinstance(message, Refused) else read(message)
    if isinstance(arguments, Refused):
        await send_refusal(stream, arguments)
        return
    iterator: Any = await _run_in_green_thread(catch_exceptions(partial(call, arguments)))
    if isinstance(iterator, Refused):
        await send_refusal(stream, iterator)
        return

    def step() -> Any:
        outcome: Any = next(iterator, _END)
        return outcome if outcome is _END or isinstance(outcome, Refused) else write(outcome)

    try:
        while True:
            reply = await _run_in_green_thread(catch_exceptions(step))
            if reply is _END:
                return
            if isinstance(reply, Refused):
                await send_refusal(stream, reply)
                return
            await stream.send_message(reply)
    finally:
        # If the client disconnects during a send, the iterator is suspended and must be closed.
        spawn(_close_iterator, iterator)


async def receive_message(stream: Any) -> Any:
    """Return the next message of a client, or a refusal if it is missing or cannot be decoded."""
    try:
        message = await stream.recv_message()
    except DecodeError:
        return Refused(ErrorKind.INVALID, "message: cannot be decoded with this schema")
    if message is None:
        return Refused(ErrorKind.INVALID, "message: is missing")
    return message


def catch_exceptions(work: Callable[[], Any]) -> Callable[[], Any]:
    """Wrap a function so that it logs an exception and returns it as a refusal."""

    def run() -> Any:
        try:
            return work()
        except FRONTEND_EXCEPTIONS as error:
            _logger.exception("call_failed")
            detail = f"the instance failed with {type(error).__name__}"
            return Refused(ErrorKind.INTERNAL, detail)

    return run


async def _run_in_green_thread(work: Callable[[], Any]) -> Any:
    return await spawn(work)


def _close_iterator(iterator: Any) -> None:
    close = getattr(iterator, "close", None)
    if close is None:
        return
    try:
        close()
    except ValueError:
        # The iterator is still executing a killed step, which closes it as well.
        return
    except FRONTEND_EXCEPTIONS:
        _logger.exception("close_failed")
