"""Tests of the mirror, the relay's answers, the choice between relay and store, and claims."""

import unittest
import warnings
from dataclasses import replace

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

from hornbeamfold.batch import (  # noqa: E402
    AppendOutcome,
    KeyedRecord,
    NewestPage,
    NotStored,
    ReadFailed,
    Records,
    Stored,
    TopicPort,
)
from hornbeamfold.relay import (  # noqa: E402
    Directory,
    LocalInstance,
    Mirror,
    RelayRecord,
    answer_read,
    relayed_port,
)
from hornbeamfold.relay.codec import (  # noqa: E402
    RELAY_KEY_PREFIX,
    Page,
    decode_page,
    encode_page,
    encode_relay,
)
from hornbeamfold.relay.directory import BACKOFF_MS, FAILOVER_MS, SLOW_INSTANCE_DELAY_MS  # noqa: E402
from hornbeamfold.relay.server import MAX_AGE_MS  # noqa: E402

REGION = "sahel-est"


def record(key: str, value: bytes, offset: int) -> KeyedRecord:
    """Return a stored record."""
    return KeyedRecord(key, value, offset)


class MirrorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1_000
        self.mirror = Mirror(lambda: self.now)

    def test_only_the_newest_record_of_each_key_is_relayed_in_log_order(self) -> None:
        self.mirror.apply([record("a", b"1", 0), record("b", b"1", 1), record("a", b"2", 2)])
        self.mirror.confirm(3, 1_000)
        records = [(each.key, each.value) for each in self.mirror.since(0)]
        self.assertEqual(records, [("b", b"1"), ("a", b"2")])
        self.assertEqual([each.key for each in self.mirror.since(2)], ["a"])

    def test_a_key_that_is_missing_in_a_reload_is_relayed_as_removed(self) -> None:
        self.mirror.apply([record("a", b"1", 0), record("b", b"1", 1)])
        self.mirror.confirm(2, 1_000)
        self.mirror.begin_reload()
        self.mirror.apply([record("a", b"2", 5)])
        self.mirror.confirm(6, 1_000)
        records = {each.key: each.value for each in self.mirror.since(2)}
        self.assertEqual(records, {"a": b"2", "b": b""})

    def test_a_reader_waits_until_something_is_written(self) -> None:
        self.mirror.confirm(3, 1_000)
        eventlet.spawn_after(0.02, self.mirror.confirm, 4, 1_000)
        self.mirror.wait_beyond(3, 5_000)
        self.assertEqual(self.mirror.end, 4)

    def test_a_relay_that_is_behind_the_store_does_not_answer(self) -> None:
        self.mirror.confirm(3, 1_000)
        mirrors = {"t": self.mirror}
        query = {"from": "0"}
        self.assertIsNotNone(answer_read(mirrors, "t", query, lambda: self.now))
        self.now += MAX_AGE_MS + 1
        self.assertIsNone(answer_read(mirrors, "t", query, lambda: self.now))
        self.assertIsNone(answer_read(mirrors, "other", query, lambda: self.now))
        self.assertIsNone(answer_read(mirrors, "t", {"from": "x"}, lambda: self.now))


class Store:
    """A fake store with a topic of relays and a topic to read."""

    def __init__(self) -> None:
        self._relays: list[KeyedRecord] = []
        self._reads = 0

    @property
    def reads(self) -> int:
        """The number of direct reads of the topic."""
        return self._reads

    def claim(self, record: RelayRecord) -> None:
        """Append the claim of another instance."""
        self.put(encode_relay(record))

    def put(self, record: KeyedRecord) -> None:
        """Append a record to the topic of relays."""
        self._relays.append(replace(record, offset=len(self._relays)))

    def port(self) -> TopicPort:
        """Return the port to the topic of relays."""

        def append(records: list[KeyedRecord], *_: object) -> AppendOutcome:
            self._relays.append(replace(records[0], offset=len(self._relays)))
            return Stored(0)

        return TopicPort(
            append,  # type: ignore[arg-type]
            lambda *_: ReadFailed("not used"),
            lambda _: NewestPage(tuple(self._relays[-1:]), False, len(self._relays), 0),
        )

    def topic(self) -> TopicPort:
        """Return the port to the topic that is relayed."""

        def read(start: int, wait_ms: int) -> Records:
            self._reads += 1
            return Records((), start, start, 500)

        return TopicPort(
            lambda *_: NotStored("not used"), read, lambda _: NewestPage((), False, 0, 500)
        )


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 10_000
        self.store = Store()

    def directory(self, name: str, cores: float = 2.0) -> Directory:
        local = LocalInstance(REGION, name, f"{name}:7000", cores)
        directory = Directory(local, self.store.port(), lambda: self.now, lambda: True)
        self.addCleanup(eventlet.spawn(directory.run).kill)
        return directory

    def advance_clock(self, ms: int) -> None:
        """Advance the clock in steps, and let the directories run after each."""
        for _ in range(0, ms, 400):
            self.now += 400
            eventlet.sleep(0.21)

    def test_a_fast_instance_claims_when_there_is_no_relay(self) -> None:
        fast, slow = self.directory("fast"), self.directory("slow", 0.5)
        self.advance_clock(FAILOVER_MS + 1_200)
        self.assertEqual((fast.is_relay, slow.is_relay), (True, False))
        slow.record_failure("look again")
        self.advance_clock(BACKOFF_MS + 400)
        self.assertEqual(slow.relay_address(), "fast:7000")

    def test_an_odd_record_of_a_relay_names_none_and_is_replaced(self) -> None:
        """Guards against a record that ends the thread which looks the relay up."""
        odd = [
            b'{"odd":' + b"[" * 100_000,
            b"\xff",
            b"{}",
            encode_relay(RelayRecord(REGION, "odd", "odd:99999999")).value,
            encode_relay(RelayRecord(REGION, "odd", "")).value,
        ]
        for value in odd:
            with self.subTest(value[:20]):
                self.store = Store()
                self.store.put(KeyedRecord(RELAY_KEY_PREFIX + REGION, value))
                directory = self.directory("fast")
                eventlet.sleep(0.05)
                self.assertEqual(directory.relay_address(), "")
                self.advance_clock(FAILOVER_MS + 1_200)
                self.assertTrue(directory.is_relay)

    def test_a_relay_that_fails_is_avoided_for_a_time_and_then_replaced(self) -> None:
        self.store.claim(RelayRecord(REGION, "dead", "dead:7000"))
        directory = self.directory("slow", 0.5)
        eventlet.sleep(0.05)
        self.assertEqual(directory.relay_address(), "dead:7000")
        directory.record_failure("no answer")
        self.assertEqual(directory.relay_address(), "")
        self.now += BACKOFF_MS
        self.assertEqual(directory.relay_address(), "dead:7000")
        for _ in range(12):
            directory.record_failure("no answer")
            self.advance_clock(400)
        self.assertLess(FAILOVER_MS + SLOW_INSTANCE_DELAY_MS, 12 * 400)
        self.assertTrue(directory.is_relay)


class RelayedPortTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 10_000
        self.store = Store()
        self.store.claim(RelayRecord(REGION, "relay", "relay:7000"))
        local = LocalInstance(REGION, "reader", "reader:7000", 0.5)
        self.directory = Directory(local, self.store.port(), lambda: self.now, lambda: False)
        thread = eventlet.spawn(self.directory.run)
        self.addCleanup(thread.kill)
        eventlet.sleep(0.01)
        self.body: bytes | None = None
        self.direct = False
        self.port = relayed_port(
            self.store.topic(),
            "t",
            self.directory,
            self.fetch,
            lambda: self.direct,
            lambda: self.now,
        )

    def fetch(
        self, address: str, path: str, query: dict[str, object], timeout_ms: int
    ) -> bytes | None:
        self.now += 30
        return self.body

    def page(self, end: int, age_ms: int, held_ms: int) -> bytes:
        return encode_page(Page((record("k", b"v", end - 1),), end, age_ms, held_ms))

    def test_the_confirmation_time_accounts_for_the_age_of_the_relayed_page(self) -> None:
        self.body = self.page(8, age_ms=400, held_ms=20)
        found = self.port.read(7, 100)
        assert isinstance(found, Records)
        self.assertEqual((found.next_offset, found.confirmed_ms), (8, 10_000 + 20 - 400))

    def test_a_reader_ahead_of_the_relay_does_not_go_back(self) -> None:
        self.body = self.page(8, age_ms=400, held_ms=0)
        found = self.port.read(12, 100)
        assert isinstance(found, Records)
        self.assertEqual((found.next_offset, found.end), (12, 12))

    def test_the_store_is_read_when_the_relay_cannot_answer(self) -> None:
        for body in (None, b"\xc1", self.page(8, MAX_AGE_MS + 1, 0)):
            with self.subTest(body):
                self.body = body
                before = self.store.reads
                self.port.read(7, 100)
                self.assertEqual(self.store.reads, before + 1)
                self.assertEqual(self.directory.relay_address(), "")
                self.now += BACKOFF_MS

    def test_the_store_is_read_when_the_relay_answers_oddly(self) -> None:
        """Guards against a peer's page that raises in the follower or counts as newer than now."""
        valid = Page((), 8, 0, 0)
        bodies = {
            "too deep": b"\x81\xa3odd" + b"\x91" * 100_000,
            "empty": b"",
            "not UTF-8": encode_page(replace(valid, records=(record("KEY", b"v", 7),))).replace(
                b"KEY", b"\xff\xff\xff"
            ),
            "negative end": encode_page(replace(valid, end=-1)),
            "huge end": encode_page(replace(valid, end=2**63)),
            "negative age": encode_page(replace(valid, age_ms=-100_000)),
            "negative time": encode_page(replace(valid, held_ms=-1)),
            "negative offset": encode_page(replace(valid, records=(record("k", b"v", -7),))),
        }
        for name, body in bodies.items():
            with self.subTest(name):
                self.body = body
                before = self.store.reads
                self.port.read(7, 100)
                self.assertEqual(self.store.reads, before + 1)
                self.now += BACKOFF_MS

    def test_a_page_held_for_longer_than_the_call_confirms_no_later_time(self) -> None:
        """Guards against an instance that counts itself as current for ever."""
        self.body = self.page(8, age_ms=0, held_ms=1_000_000)
        found = self.port.read(7, 100)
        assert isinstance(found, Records)
        self.assertLessEqual(found.confirmed_ms, self.now)

    def test_an_instance_that_coordinates_reads_the_store(self) -> None:
        self.direct = True
        self.body = self.page(8, 0, 0)
        self.port.read(7, 100)
        self.assertEqual(self.store.reads, 1)

    def test_a_new_reader_loads_from_the_relay_without_removed_keys(self) -> None:
        removed = record("gone", b"", 3)
        self.body = encode_page(Page((removed, record("k", b"v", 7)), 8, 0, 0))
        page = self.port.newest("")
        assert isinstance(page, NewestPage)
        self.assertEqual(([each.key for each in page.records], page.end), (["k"], 8))

    def test_a_page_is_equal_after_encoding_and_decoding(self) -> None:
        page = Page((record("k", b"\x00\xff", 7),), 8, 5, 6)
        self.assertEqual(decode_page(encode_page(page)), page)


if __name__ == "__main__":
    unittest.main()
