"""Client of the platform's list of live and leaving instances."""

from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

REQUEST_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ListedInstance:
    """An instance as the platform lists it; `role` is "entry" or "worker"."""

    name: str
    role: str
    address: str
    availability_zone: str
    state: str


@dataclass(frozen=True)
class InstanceList:
    """One reading of the list."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True)
class ListFailure:
    """The list could not be read or written."""

    detail: str


class ListClient:
    """Reads the list and announces this instance to it."""

    def __init__(self, url: str, name: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"X-Instance": name, "Content-Type": "application/json"}
        self._pool = urllib3.PoolManager(maxsize=2, retries=False)

    def read(self) -> InstanceList | ListFailure:
        """Return what the list shows now; it may lag by seconds."""
        reply = self._request("GET", "/v1/instances", None)
        if isinstance(reply, ListFailure):
            return reply
        try:
            return msgspec.json.decode(reply, type=InstanceList)
        except msgspec.DecodeError as error:
            return ListFailure(f"The list's answer does not fit: {error}.")

    def announce(self, instance: ListedInstance) -> ListFailure | None:
        """Register this instance or announce that it leaves; None if the list took it."""
        reply = self._request(
            "PUT", f"/v1/instances/{instance.name}", msgspec.json.encode(instance)
        )
        return reply if isinstance(reply, ListFailure) else None

    def _request(self, method: str, path: str, body: bytes | None) -> bytes | ListFailure:
        try:
            reply = self._pool.request(
                method,
                self._url + path,
                body=body,
                headers=self._headers,
                timeout=REQUEST_TIMEOUT_S,
                retries=False,
            )
        except HTTPError as error:
            return ListFailure(f"The instance list does not answer: {error}.")
        if reply.status != 200:
            return ListFailure(f"The instance list answered {reply.status}.")
        return reply.data
