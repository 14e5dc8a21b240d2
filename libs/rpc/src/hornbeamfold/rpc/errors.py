"""Converts refusals to gRPC status, message and trailers, and back."""

from collections.abc import Mapping
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused

KIND_TRAILER = "hornbeamfold-kind"
RAN_TRAILER = "hornbeamfold-ran"
# gRPC clients reject trailers above 8 KiB, and percent-encoding can triple the size of a text.
MAX_DETAIL_BYTES = 2_000


def grpc_error(refused: Refused) -> GRPCError:
    """Return a refusal as a gRPC error with status and message."""
    detail = refused.detail.encode("utf-8", "replace")
    if len(detail) > MAX_DETAIL_BYTES:
        detail = detail[:MAX_DETAIL_BYTES] + b" (shortened)"
    text = f"{refused.kind.value}: {detail.decode('utf-8', 'ignore')}"
    return GRPCError(Status[refused.response.status], text)


def refusal_trailers(refused: Refused) -> dict[str, str]:
    """Return the trailers that carry the kind and the execution status of a refusal."""
    return {KIND_TRAILER: refused.kind.value, RAN_TRAILER: refused.effective_ran.value}


async def send_refusal(stream: Any, refused: Refused) -> None:
    """End a call on the server side with a refusal."""
    error = grpc_error(refused)
    await stream.send_trailing_metadata(
        status=error.status, status_message=error.message, metadata=refusal_trailers(refused)
    )


def refusal_from_error(
    error: GRPCError, metadata: Mapping[str, Any] | None, is_read: bool
) -> Refused:
    """Convert the gRPC error that a client received to a refusal.

    An error without the trailers comes from a gRPC library or a proxy, so a call that is not a read
    may have taken effect.
    """
    trailers = metadata or {}
    message = error.message or ""
    try:
        kind = ErrorKind(str(trailers.get(KIND_TRAILER)))
    except ValueError:
        return _refusal_without_trailers(error.status, message, is_read)
    try:
        ran = ExecutionStatus(str(trailers.get(RAN_TRAILER)))
    except ValueError:
        ran = ExecutionStatus.UNKNOWN
    return Refused(kind, message.removeprefix(f"{kind.value}: "), ran)


def _refusal_without_trailers(status: Status, message: str, is_read: bool) -> Refused:
    detail = f"the call ended with {status.name} {message}".rstrip()
    if status is Status.UNIMPLEMENTED:
        return Refused(
            ErrorKind.INTERNAL,
            f"{detail}: the instance does not implement this call",
            ExecutionStatus.NOT_RUN,
        )
    if not is_read:
        return Refused(ErrorKind.OUTCOME_UNKNOWN, detail)
    if status is Status.DEADLINE_EXCEEDED:
        return Refused(ErrorKind.DEADLINE_PASSED, detail)
    if status in (Status.UNAVAILABLE, Status.CANCELLED):
        return Refused(ErrorKind.UNREACHABLE, detail, ExecutionStatus.NOT_RUN)
    return Refused(ErrorKind.INTERNAL, detail)
