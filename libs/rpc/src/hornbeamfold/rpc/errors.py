"""Refusals on the wire: gRPC status, message and trailers, and back."""

from collections.abc import Mapping
from typing import Any

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from hornbeamfold.model.errors import ErrorKind, ExecutionStatus, Refused

KIND_TRAILER = "hornbeamfold-kind"
RAN_TRAILER = "hornbeamfold-ran"
# gRPC clients refuse trailers above 8 KiB, and percent-encoding makes a byte three.
MAX_DETAIL_BYTES = 2_000


def grpc_error(refused: Refused) -> GRPCError:
    """Return the status and the message of a refusal."""
    detail = refused.detail.encode("utf-8", "replace")
    if len(detail) > MAX_DETAIL_BYTES:
        detail = detail[:MAX_DETAIL_BYTES] + b" (shortened)"
    text = f"{refused.kind.value}: {detail.decode('utf-8', 'ignore')}"
    return GRPCError(Status[refused.response.status], text)


def trailers(refused: Refused) -> dict[str, str]:
    """Return the trailers of a refusal."""
    return {KIND_TRAILER: refused.kind.value, RAN_TRAILER: refused.effective_ran.value}


async def send_refused(stream: Any, refused: Refused) -> None:
    """End a call on the server with a refusal."""
    error = grpc_error(refused)
    await stream.send_trailing_metadata(
        status=error.status, status_message=error.message, metadata=trailers(refused)
    )


def refused_from(error: GRPCError, received: Mapping[str, Any] | None, is_read: bool) -> Refused:
    """Return the refusal that a call of a client ended with.

    An error without the trailers comes from the gRPC libraries or from something in between, so
    a call that changes something may have taken effect.
    """
    fields = received or {}
    message = error.message or ""
    try:
        kind = ErrorKind(str(fields.get(KIND_TRAILER)))
    except ValueError:
        return _without_trailers(error.status, message, is_read)
    try:
        ran = ExecutionStatus(str(fields.get(RAN_TRAILER)))
    except ValueError:
        ran = ExecutionStatus.UNKNOWN
    return Refused(kind, message.removeprefix(f"{kind.value}: "), ran)


def _without_trailers(status: Status, message: str, is_read: bool) -> Refused:
    detail = f"the call ended with {status.name} {message}".rstrip()
    if status is Status.UNIMPLEMENTED:
        return Refused(
            ErrorKind.INTERNAL, f"{detail}: the instance lacks this call", ExecutionStatus.NOT_RUN
        )
    if not is_read:
        return Refused(ErrorKind.OUTCOME_UNKNOWN, detail)
    if status is Status.DEADLINE_EXCEEDED:
        return Refused(ErrorKind.DEADLINE_PASSED, detail)
    if status in (Status.UNAVAILABLE, Status.CANCELLED):
        return Refused(ErrorKind.UNREACHABLE, detail, ExecutionStatus.NOT_RUN)
    return Refused(ErrorKind.INTERNAL, detail)
