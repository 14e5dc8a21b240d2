"""Client of the platform's instance list, which names the live and the leaving instances."""

from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from hornbeamfold.decoding import DecodeError, decode_json

REQUEST_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ListedInstance:
    """An entry of the instance list.

    `role` is "entry" or "worker", and `state` is "live" or "leaving".
    """

    name: str
    role: str
    address: str
    availability_zone: str
    state: str


@dataclass(frozen=True)
class InstanceList:
    """The instance list as it was read once."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True)
class ListFailure:
    """A read or an update of the instance list failed."""

    detail: str


class ListClient:
    """Reads the instance list and updates the entry of this instance."""

    def __init__(self, url: str, name: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"X-Instance": name, "Content-Type": "application/json"}
        self._pool = urllib3.PoolManager(maxsize=2, retries=False)

    def read(self) -> InstanceList | ListFailure:
        """Return the current instance list, which may lag by seconds."""
        reply = self._request("GET", "/v1/instances", None)
        if isinstance(reply, ListFailure):
            return reply
        try:
            return decode_json(reply, InstanceList)
        except DecodeError as error:
            return ListFailure(f"The instance list cannot be decoded: {error}.")

    def announce(self, instance: ListedInstance) -> ListFailure | None:
        """Register this instance or announce that it leaves; return None on success."""
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
            return ListFailure(f"The request to the instance list failed: {error}.")
        if reply.status != 200:
            return ListFailure(f"The instance list answered with status {reply.status}.")
        return reply.data
