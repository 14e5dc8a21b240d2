"""The client side of one peer, used from green threads on eventlet's asyncio hub."""

from asyncio import timeout
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT
from typing import Any, TypeVar

from eventlet.asyncio import spawn_for_awaitable
from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.protocol import H2Protocol

from hornbeamfold.model.status import CancelState, FoundAnswer, PeerHeartbeat, RelayedEntries
from hornbeamfold.model.timing import MAX_VIEW_AGE_MS
from hornbeamfold.rpc import v1_pb2
from hornbeamfold.rpc.addresses import split_address
from hornbeamfold.rpc.peer_adapters import (
    read_found_answer,
    read_relayed_entries,
    write_heartbeat,
    write_records_query,
)
from hornbeamfold.rpc.v1_grpc import PeersStub

CLOSE_MS = 200

Result = TypeVar("Result")


@dataclass(frozen=True)
class PeerFailure:
    """A tagged outcome: the peer did not answer, and why."""

    detail: str


class _PeerChannel(Channel):
    """A connection that breaks when the peer acknowledges no data for some seconds.

    TCP alone retries for minutes after a partition, and heartbeats would wait in its buffer.
    """

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        socket = protocol.connection._transport.get_extra_info("socket")
        socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, MAX_VIEW_AGE_MS)
        return protocol


class PeerConnection:
    """The connection to one peer with its heartbeat stream; both are opened again after a loss."""

    def __init__(self, address: str) -> None:
        self._host, self._port = split_address(address)
        self._channel: _PeerChannel | None = None
        self._heartbeats: Any = None

    def send_heartbeat(self, heartbeat: PeerHeartbeat, timeout_ms: int) -> PeerFailure | None:
        """Send a heartbeat on the stream; None if it was handed to the connection."""
        message = write_heartbeat(heartbeat)
        return _wait(lambda: self._send(message), timeout_ms)

    def find_answer(
        self, organisation: str, request_id: str, timeout_ms: int
    ) -> FoundAnswer | PeerFailure:
        """Ask what the peer knows of a request."""
        message = v1_pb2.FindAnswerRequest(organisation=organisation, request_id=request_id)

        async def call() -> FoundAnswer:
            seconds = timeout_ms / 1_000
            return read_found_answer(await self._stub().FindAnswer(message, timeout=seconds))

        return _wait(call, timeout_ms)

    def cancel_waiting(
        self, organisation: str, request_id: str, timeout_ms: int
    ) -> CancelState | PeerFailure:
        """Cancel a request if it waits on the peer."""
        message = v1_pb2.CancelRequest(organisation=organisation, request_id=request_id)

        async def call() -> CancelState:
            seconds = timeout_ms / 1_000
            reply = await self._stub().CancelWaiting(message, timeout=seconds)
            return CancelState(reply.state)

        return _wait(call, timeout_ms)

    def read_records(self, start: int, limit: int, timeout_ms: int) -> RelayedEntries | PeerFailure:
        """Read log entries that the peer has folded."""
        message = write_records_query(start, limit)

        async def call() -> RelayedEntries:
            seconds = timeout_ms / 1_000
            return read_relayed_entries(await self._stub().ReadRecords(message, timeout=seconds))

        return _wait(call, timeout_ms)

    def close(self) -> None:
        """End the heartbeat stream and close the connection."""
        _wait(self._close, CLOSE_MS)

    def _stub(self) -> PeersStub:
        # A channel takes the running loop, which exists only inside a coroutine.
        if self._channel is None:
            self._channel = _PeerChannel(self._host, self._port)
        return PeersStub(self._channel)

    async def _send(self, message: v1_pb2.Heartbeat) -> None:
        try:
            if self._heartbeats is None:
                self._heartbeats = self._stub().Heartbeats.open()
                await self._heartbeats.__aenter__()
            await self._heartbeats.send_message(message)
        except BaseException as error:
            # The next heartbeat opens a new stream; a cancelled send may have left half a message.
            await self._leave_stream(error)
            raise

    async def _leave_stream(self, error: BaseException) -> None:
        stream, self._heartbeats = self._heartbeats, None
        if stream is None:
            return
        # With an error given, leaving resets the stream and does not wait for the peer.
        await stream.__aexit__(type(error), error, error.__traceback__)

    async def _close(self) -> None:
        channel, self._channel = self._channel, None
        try:
            if self._heartbeats is not None:
                await self._heartbeats.end()
                await self._heartbeats.recv_message()
        finally:
            await self._leave_stream(ConnectionError("closed"))
            if channel is not None:
                channel.close()


def _wait(work: Callable[[], Awaitable[Result]], timeout_ms: int) -> Result | PeerFailure:
    """Run a coroutine for a green thread, within a time."""

    async def bounded() -> Result | PeerFailure:
        # The hub prints exceptions that leave an awaited coroutine, so none does.
        try:
            async with timeout(timeout_ms / 1_000):
                return await work()
        except TimeoutError:
            return PeerFailure(f"no answer within {timeout_ms} ms")
        except GRPCError as error:
            return PeerFailure(f"{error.status.name} {error.message or ''}".rstrip())
        except Exception as error:
            return PeerFailure(f"{type(error).__name__}: {error}")

    return spawn_for_awaitable(bounded()).wait()
