"""The complete set of error kinds, and how each is reported to callers."""

from dataclasses import dataclass
from enum import StrEnum


class ErrorKind(StrEnum):
    """Why a call was refused or failed."""

    INVALID = "invalid"
    UNKNOWN_ORGANISATION = "unknown_organisation"
    UNAUTHENTICATED = "unauthenticated"
    BODY_TOO_LARGE = "body_too_large"
    NOT_FOUND = "not_found"
    UNKNOWN_JOB = "unknown_job"
    DEADLINE_PASSED = "deadline_passed"
    DUPLICATE_REQUEST = "duplicate_request"
    INFEASIBLE = "infeasible"
    GUARANTEE_INFEASIBLE = "guarantee_infeasible"
    CONFLICT = "conflict"
    OVERLOADED = "overloaded"
    LOG_UNAVAILABLE = "log_unavailable"
    STALE_VIEW = "stale_view"
    DRAINING = "draining"
    NO_TARGET = "no_target"
    CANCELLED = "cancelled"
    FAILED = "failed"
    ANSWER_TOO_LARGE = "answer_too_large"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UNREACHABLE = "unreachable"
    INTERNAL = "internal"


class ExecutionStatus(StrEnum):
    """Whether the work of a caller was executed, as far as the service knows."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class ErrorResponse:
    """How an error kind is reported to a caller.

    `status` is the gRPC status name, `retry` tells whether the caller may send the call again,
    `exit_code` is the exit code of the command-line tool and `advice` what the user can do.
    """

    status: str
    ran: ExecutionStatus
    retry: bool
    exit_code: int
    advice: str


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID: ErrorResponse(
        "INVALID_ARGUMENT",
        ExecutionStatus.NOT_RUN,
        False,
        2,
        "Correct the field that is named and send again.",
    ),
    ErrorKind.UNKNOWN_ORGANISATION: ErrorResponse(
        "NOT_FOUND",
        ExecutionStatus.NOT_RUN,
        False,
        3,
        "Create the organisation first or correct its name.",
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        "UNAUTHENTICATED",
        ExecutionStatus.NOT_RUN,
        False,
        3,
        "Use a key that the organisation holds now.",
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        "INVALID_ARGUMENT", ExecutionStatus.NOT_RUN, False, 2, "Send a smaller body."
    ),
    ErrorKind.UNKNOWN_JOB: ErrorResponse(
        "NOT_FOUND", ExecutionStatus.NOT_RUN, False, 3, "Check the job's id."
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(
        "NOT_FOUND", ExecutionStatus.NOT_RUN, False, 3, "Check the name or id."
    ),
    ErrorKind.DEADLINE_PASSED: ErrorResponse(
        "DEADLINE_EXCEEDED", ExecutionStatus.NOT_RUN, False, 4, "Send again with a later deadline."
    ),
    ErrorKind.DUPLICATE_REQUEST: ErrorResponse(
        "ALREADY_EXISTS",
        ExecutionStatus.NOT_RUN,
        False,
        5,
        "Use a new request id for a different body.",
    ),
    ErrorKind.INFEASIBLE: ErrorResponse(
        "FAILED_PRECONDITION",
        ExecutionStatus.NOT_RUN,
        False,
        6,
        "Ask for a smaller shape or a wider span.",
    ),
    ErrorKind.GUARANTEE_INFEASIBLE: ErrorResponse(
        "FAILED_PRECONDITION",
        ExecutionStatus.NOT_RUN,
        False,
        6,
        "Reduce the guarantees until all fit together.",
    ),
    ErrorKind.CONFLICT: ErrorResponse(
        "ABORTED", ExecutionStatus.NOT_RUN, False, 5, "Read the current version and decide again."
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        "RESOURCE_EXHAUSTED",
        ExecutionStatus.NOT_RUN,
        True,
        7,
        "Send again later or with a later deadline.",
    ),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(
        "UNAVAILABLE", ExecutionStatus.NOT_RUN, True, 7, "Send again when the log service is back."
    ),
    ErrorKind.STALE_VIEW: ErrorResponse(
        "UNAVAILABLE", ExecutionStatus.NOT_RUN, True, 7, "Send again through another instance."
    ),
    ErrorKind.DRAINING: ErrorResponse(
        "UNAVAILABLE", ExecutionStatus.NOT_RUN, True, 7, "Send again through another instance."
    ),
    ErrorKind.NO_TARGET: ErrorResponse(
        "UNAVAILABLE",
        ExecutionStatus.NOT_RUN,
        True,
        7,
        "Bring a zone or a target back, then send again.",
    ),
    ErrorKind.CANCELLED: ErrorResponse(
        "CANCELLED", ExecutionStatus.NOT_RUN, False, 8, "Nothing more to do."
    ),
    ErrorKind.FAILED: ErrorResponse(
        "ABORTED", ExecutionStatus.RAN, False, 9, "Read the detail of the failure."
    ),
    ErrorKind.ANSWER_TOO_LARGE: ErrorResponse(
        "OUT_OF_RANGE", ExecutionStatus.RAN, False, 9, "The work ran; ask for a smaller answer."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        "UNKNOWN",
        ExecutionStatus.UNKNOWN,
        False,
        10,
        "Ask for the answer by its id before sending anything.",
    ),
    ErrorKind.UNREACHABLE: ErrorResponse(
        "UNAVAILABLE", ExecutionStatus.UNKNOWN, True, 11, "Check the address and the network."
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        "INTERNAL",
        ExecutionStatus.UNKNOWN,
        False,
        12,
        "Report this with the log lines of the instance.",
    ),
}


class HornbeamfoldError(Exception):
    """Base class of all errors that end a command or a call; the text can be shown to a user."""

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self._kind = kind
        self._detail = detail

    @property
    def kind(self) -> ErrorKind:
        """The error kind, which decides how the error is reported."""
        return self._kind

    @property
    def detail(self) -> str:
        """A human-readable description of what happened."""
        return self._detail


@dataclass(frozen=True)
class Refused:
    """A tagged outcome: the work was refused or failed.

    `ran` overrides the value that the error kind implies, for instance when a cancelled request had
    already started. `retry_after_s` is after how many seconds the caller is advised to send again;
    None leaves it to the front end.
    """

    kind: ErrorKind
    detail: str
    ran: ExecutionStatus | None = None
    retry_after_s: int | None = None

    @property
    def response(self) -> ErrorResponse:
        """How an error of this kind is reported."""
        return ERROR_RESPONSES[self.kind]

    @property
    def effective_ran(self) -> ExecutionStatus:
        """Whether the work ran: `ran` if it is set, else what the error kind implies."""
        return self.ran if self.ran is not None else self.response.ran


@dataclass(frozen=True)
class Done:
    """A tagged outcome: the work ran and this is its complete answer."""

    answer: str
    worker: str = ""


Outcome = Done | Refused
