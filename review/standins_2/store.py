"""A stand-in of the platform's store: topics in memory behind the HTTP calls of PROTOCOL.md."""

import base64
import json
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

APPEND_S = 0.004
REMEMBERED_APPENDS = 5
PAGE_ITEMS = 500


@dataclass
class Producer:
    """The highest epoch of a producer, its last sequence number and its last answers."""

    epoch: int
    sequence: int | None
    answers: dict[int, dict] = field(default_factory=dict)


@dataclass
class Topic:
    """One partition of a keyed topic."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, int] = field(default_factory=dict)
    producers: dict[str, Producer] = field(default_factory=dict)


class Store:
    """All topics; every call is atomic, and an acknowledged record is never lost."""

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self._changed = threading.Condition()
        self.last_writer = ""

    def put(self, topic: str, key: str, document: object) -> None:
        """Append a record as the operator or a worker does; None removes the key."""
        value = b"" if document is None else json.dumps(document).encode()
        with self._changed:
            self._add(self._topics.setdefault(topic, Topic()), [(key, value)])

    def _add(self, topic: Topic, records: list[tuple[str, bytes]]) -> int:
        first = len(topic.records)
        for record in records:
            topic.newest[record[0]] = len(topic.records)
            topic.records.append(record)
        self._changed.notify_all()
        return first

    def append(self, query: dict[str, str], body: bytes, caller: str) -> tuple[int, dict]:
        """Append all records of a call, or none; note who wrote last under a condition."""
        records = list(_decode(body))
        with self._changed:
            time.sleep(APPEND_S)
            topic = self._topics.setdefault(query["topic"], Topic())
            name = query.get("producer")
            if name is None:
                first = self._add(topic, records)
                return 200, {"offset": first, "end": len(topic.records)}
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = topic.producers.get(name)
            if known is not None and epoch < known.epoch:
                return 409, {"reason": "fenced"}
            if known is None or epoch > known.epoch:
                known = topic.producers[name] = Producer(epoch, None)
            if sequence in known.answers:
                return 200, known.answers[sequence]
            if known.sequence is not None and sequence != known.sequence + 1:
                return 409, {"reason": "seq", "expected": known.sequence + 1}
            first = self._add(topic, records)
            answer = {"offset": first, "end": len(topic.records)}
            known.sequence = sequence
            self.last_writer = caller
            known.answers[sequence] = answer
            for old in sorted(known.answers)[:-REMEMBERED_APPENDS]:
                del known.answers[old]
            return 200, answer

    def read(self, query: dict[str, str]) -> bytes:
        """Return the records from an offset on, as soon as there is one."""
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1_000
        limit = int(query.get("max_kb", 1_024)) * 1_024
        with self._changed:
            topic = self._topics.setdefault(query["topic"], Topic())
            while len(topic.records) <= start and (left := until - time.monotonic()) > 0:
                self._changed.wait(left)
            parts = [len(topic.records).to_bytes(8, "big"), (0).to_bytes(8, "big")]
            size = 0
            for key, value in topic.records[start:]:
                content = bytes([len(key.encode())]) + key.encode() + value
                size += len(content) + 4
                if size > limit and len(parts) > 2:
                    break
                parts.append(len(content).to_bytes(4, "big") + content)
            return b"".join(parts)

    def newest(self, query: dict[str, str]) -> dict:
        """Return a page of the newest record of each key that has a value."""
        after = query.get("after", "")
        with self._changed:
            topic = self._topics.setdefault(query["topic"], Topic())
            keys = sorted(
                key
                for key, offset in topic.newest.items()
                if key > after and topic.records[offset][1]
            )
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(topic.records[topic.newest[key]][1]).decode(),
                    "offset": topic.newest[key],
                }
                for key in keys[:PAGE_ITEMS]
            ]
            has_more = len(keys) > PAGE_ITEMS
            return {"items": items, "has_more": has_more, "end": len(topic.records)}


def _decode(body: bytes) -> list[tuple[str, bytes]]:
    found: list[tuple[str, bytes]] = []
    position = 0
    while position < len(body):
        length = int.from_bytes(body[position : position + 4], "big")
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        found.append((content[1 : 1 + content[0]].decode(), content[1 + content[0] :]))
    return found


def serve_store(store: Store, caller: str) -> str:
    """Serve a store to one caller on a free loopback port; return its address."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_: object) -> None:
            """Write no log."""

        def _answer(self, status: int, body: bytes) -> None:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def _call(self) -> None:
            url = urlsplit(self.path)
            query = {key: values[0] for key, values in parse_qs(url.query).items()}
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            name = url.path.removeprefix("/hornbeamfold/")
            if name == "log-append":
                status, document = store.append(query, body, caller)
                self._answer(status, json.dumps(document).encode())
            elif name == "log-read":
                self._answer(200, store.read(query))
            elif name == "log-newest":
                self._answer(200, json.dumps(store.newest(query)).encode())
            else:
                self._answer(404, b"{}")

        do_GET = do_POST = _call  # noqa: N815

    return serve(Handler)


class Server(ThreadingHTTPServer):
    """A threaded server whose threads end with the process."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Write nothing when a caller ends a connection."""


def serve(handler: type[BaseHTTPRequestHandler], address: tuple[str, int] | None = None) -> str:
    """Serve requests in the background, on a free loopback port by default; return the address."""
    server = Server(address or ("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    host, port = server.server_address[:2]
    return f"{host}:{port}"
