"""A client for the calls between peers, for green threads on eventlet's asyncio hub."""

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

CLOSE_TIMEOUT_MS = 200

Result = TypeVar("Result")


@dataclass(frozen=True)
class PeerFailure:
    """The outcome of a call to a peer that failed, with the reason."""

    detail: str


class _PeerChannel(Channel):
    """A channel whose connection is closed if the peer acknowledges no data for some seconds.

    By default, TCP retransmits for minutes during a partition, and heartbeats would stay in its
    send buffer.
    """

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        socket = protocol.connection._transport.get_extra_info("socket")
        socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, MAX_VIEW_AGE_MS)
        return protocol


class PeerConnection:
    """The connection to one peer and its heartbeat stream; both are reopened after a failure."""

    def __init__(self, address: str) -> None:
        self._host, self._port = split_address(address)
        self._channel: _PeerChannel | None = None
        self._heartbeats: Any = None

    def send_heartbeat(self, heartbeat: PeerHeartbeat, timeout_ms: int) -> PeerFailure | None:
        """Send a heartbeat on the stream; return None once the connection has accepted it."""
        message = write_heartbeat(heartbeat)
        return _run_coroutine(lambda: self._send_message(message), timeout_ms)

    def find_answer(
        self, organisation: str, request_id: str, timeout_ms: int
    ) -> FoundAnswer | PeerFailure:
        """Ask what the peer knows about a request."""
        message = v1_pb2.FindAnswerRequest(organisation=organisation, request_id=request_id)

        async def call() -> FoundAnswer:
            seconds = timeout_ms / 1_000
            return read_found_answer(await self._stub().FindAnswer(message, timeout=seconds))

        return _run_coroutine(call, timeout_ms)

    def cancel_waiting(
        self, organisation: str, request_id: str, timeout_ms: int
    ) -> CancelState | PeerFailure:
        """Cancel a request if it is queued on the peer."""
        message = v1_pb2.CancelRequest(organisation=organisation, request_id=request_id)

        async def call() -> CancelState:
            seconds = timeout_ms / 1_000
            reply = await self._stub().CancelWaiting(message, timeout=seconds)
            return CancelState(reply.state)

        return _run_coroutine(call, timeout_ms)

    def read_records(self, start: int, limit: int, timeout_ms: int) -> RelayedEntries | PeerFailure:
        """Read up to `limit` log entries that the peer has folded, starting at an offset."""
        message = write_records_query(start, limit)

        async def call() -> RelayedEntries:
            seconds = timeout_ms / 1_000
            return read_relayed_entries(await self._stub().ReadRecords(message, timeout=seconds))

        return _run_coroutine(call, timeout_ms)

    def close(self) -> None:
        """End the heartbeat stream and close the connection."""
        _run_coroutine(self._close, CLOSE_TIMEOUT_MS)

    def _stub(self) -> PeersStub:
        # A channel needs the running event loop, which exists only inside a coroutine.
        if self._channel is None:
            self._channel = _PeerChannel(self._host, self._port)
        return PeersStub(self._channel)

    async def _send_message(self, message: v1_pb2.Heartbeat) -> None:
        try:
            if self._heartbeats is None:
                self._heartbeats = self._stub().Heartbeats.open()
                await self._heartbeats.__aenter__()
            await self._heartbeats.send_message(message)
        except BaseException as error:
            # A cancelled send may have written a partial message, so the next heartbeat opens a
            # new stream.
            await self._abort_stream(error)
            raise

    async def _abort_stream(self, error: BaseException) -> None:
        stream, self._heartbeats = self._heartbeats, None
        if stream is None:
            return
        # Given an exception, grpclib resets the stream and does not wait for the peer.
        await stream.__aexit__(type(error), error, error.__traceback__)

    async def _close(self) -> None:
        channel, self._channel = self._channel, None
        try:
            if self._heartbeats is not None:
                await self._heartbeats.end()
                await self._heartbeats.recv_message()
        finally:
            await self._abort_stream(ConnectionError("closed"))
            if channel is not None:
                channel.close()


def _run_coroutine(call: Callable[[], Awaitable[Result]], timeout_ms: int) -> Result | PeerFailure:
    """Run a coroutine with a timeout and block the calling green thread until it ends."""

    async def bounded() -> Result | PeerFailure:
        # All exceptions are caught because the hub prints those that leave an awaited coroutine.
        try:
            async with timeout(timeout_ms / 1_000):
                return await call()
        except TimeoutError:
            return PeerFailure(f"no answer within {timeout_ms} ms")
        except GRPCError as error:
            return PeerFailure(f"{error.status.name} {error.message or ''}".rstrip())
        except Exception as error:
            return PeerFailure(f"{type(error).__name__}: {error}")

    return spawn_for_awaitable(bounded()).wait()
