"""Tests of the decisions about room: limits, victims, occupancy and documents."""

import unittest

from hornbeamfold.admission import (
    CONNECTION_BYTES,
    DoorLimits,
    Holding,
    MachineLimits,
    Occupancy,
    Parts,
    Phase,
    ServerLimits,
    ServerRole,
    choose_victims,
    count_parts,
    decoded_bytes,
    server_limits,
)
from hornbeamfold.admission.holdings import GRACE_MS
from hornbeamfold.admission.limits import FILES, MEGABYTE, PROGRAM_MB

NOW_MS = 100_000
ORDINARY_BODY_BYTES = 16_384
CALLERS = 2_000


def holding(
    number: int,
    phase: Phase = Phase.BODY,
    held: int = 100_000,
    moved: int = 0,
    quiet_ms: int = 5_000,
    age_ms: int = 5_000,
) -> Holding:
    """Return a connection that last moved `quiet_ms` ago, in a phase of `age_ms`."""
    return Holding(number, phase, NOW_MS - age_ms, NOW_MS - quiet_ms, moved, held)


class LimitsTest(unittest.TestCase):
    def test_ordinary_callers_fit_on_a_small_machine(self) -> None:
        """Guards against defaults that refuse clients inside the limits of the pages."""
        for memory_mb in (160, 300, 2_000):
            with self.subTest(memory_mb=memory_mb):
                machine = MachineLimits(memory_mb=memory_mb)
                limits = server_limits(ServerRole.CALLERS, machine, DoorLimits())
                self.assertGreaterEqual(limits.connections, CALLERS)
                ordinary = CALLERS * (CONNECTION_BYTES + ORDINARY_BODY_BYTES)
                self.assertGreaterEqual(limits.memory_bytes, ordinary)

    def test_all_servers_stay_within_the_machine(self) -> None:
        for memory_mb in (80, 160, 300, 2_000):
            for file_descriptors in (300, 1_024, 4_100):
                with self.subTest(memory_mb=memory_mb, file_descriptors=file_descriptors):
                    machine = MachineLimits(memory_mb, file_descriptors)
                    servers = [server_limits(role, machine, DoorLimits()) for role in ServerRole]
                    held = sum(limits.memory_bytes for limits in servers)
                    self.assertLessEqual(held + PROGRAM_MB * MEGABYTE, memory_mb * MEGABYTE)
                    connections = sum(limits.connections for limits in servers)
                    requests = servers[0].requests
                    self.assertLess(connections + requests, file_descriptors - FILES)

    def test_a_tiny_machine_still_serves(self) -> None:
        for role in ServerRole:
            limits = server_limits(role, MachineLimits(10, 10), DoorLimits())
            self.assertGreaterEqual(limits.connections, 8)
            self.assertGreater(limits.memory_bytes, 0)

    def test_settings_go_before_the_machine(self) -> None:
        door = DoorLimits(connections=40, memory_mb=10)
        limits = server_limits(ServerRole.CALLERS, MachineLimits(), door)
        self.assertEqual(limits.connections, 40)
        self.assertLess(limits.memory_bytes, 10 * MEGABYTE)


class VictimsTest(unittest.TestCase):
    def test_who_holds_most_and_moves_least_goes_first(self) -> None:
        """Answers a crowd whose bodies stop short, beside slow and ordinary clients."""
        holdings = [
            holding(1, Phase.IDLE, held=20_000),
            holding(2, held=280_000, moved=262_000),
            holding(3, held=280_000, moved=100, quiet_ms=100),
            holding(4, held=280_000, moved=200_000, quiet_ms=10, age_ms=2_000),
        ]
        chosen = [each.number for each in choose_victims(holdings, NOW_MS, 560_000, 0)]
        self.assertEqual(chosen, [2, 1, 3])
        self.assertEqual(choose_victims(holdings, NOW_MS, 100_000, 1)[0].number, 2)

    def test_requests_in_progress_and_new_connections_are_kept(self) -> None:
        holdings = [
            holding(1, Phase.WORK),
            holding(2, Phase.CLOSING),
            holding(3, age_ms=GRACE_MS - 1),
        ]
        self.assertEqual(choose_victims(holdings, NOW_MS, 1, 1), ())

    def test_nobody_is_closed_in_vain(self) -> None:
        holdings = [holding(number) for number in range(20)]
        self.assertEqual(choose_victims(holdings, NOW_MS, 2_000_001, 0), ())
        self.assertEqual(len(choose_victims(holdings, NOW_MS, 2_000_000, 0)), 20)
        self.assertEqual(len(choose_victims(holdings, NOW_MS, 0, 20)), 20)


class OccupancyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_ms = 0
        limits = ServerLimits(4, 4 * CONNECTION_BYTES + 1_000, DoorLimits())
        self.occupancy = Occupancy(limits, lambda: self.now_ms)

    def enter(self) -> int:
        number = self.occupancy.enter()
        assert number is not None
        return number

    def test_places_and_memory_are_bounded(self) -> None:
        first, *_ = [self.enter() for _ in range(4)]
        self.assertIsNone(self.occupancy.enter())
        self.assertTrue(self.occupancy.reserve(first, 1_000))
        self.assertFalse(self.occupancy.reserve(first, 1))
        self.occupancy.release(first)
        self.assertTrue(self.occupancy.reserve(first, 600))
        self.occupancy.leave(first)
        self.assertEqual(self.occupancy.held_bytes, 3 * CONNECTION_BYTES)

    def test_the_first_content_always_fits(self) -> None:
        first, second = self.enter(), self.enter()
        self.assertTrue(self.occupancy.reserve(first, 10 * CONNECTION_BYTES))
        self.assertFalse(self.occupancy.reserve(second, 1))
        self.assertIsNone(self.occupancy.enter())

    def test_nothing_always_fits(self) -> None:
        """Guards against idle connections that are refused while an answer holds all memory."""
        first, second = self.enter(), self.enter()
        self.assertTrue(self.occupancy.reserve(first, 10 * CONNECTION_BYTES))
        self.assertTrue(self.occupancy.reserve(second, 0))

    def test_room_that_is_about_to_be_free_closes_nobody_else(self) -> None:
        """Guards against several new requests that each close connections for the same room."""
        for _ in range(4):
            self.occupancy.begin(self.enter(), Phase.BODY)
        self.now_ms = 2 * GRACE_MS
        victims = self.occupancy.victims(0, 1)
        self.assertEqual(len(victims), 1)
        self.assertEqual(self.occupancy.victims(0, 1), ())
        self.occupancy.leave(victims[0])
        self.enter()
        self.assertEqual(len(self.occupancy.victims(0, 1)), 1)

    def test_a_closing_connection_stays_so(self) -> None:
        number = self.enter()
        self.now_ms = 2 * GRACE_MS
        self.occupancy.victims(0, 4)
        self.assertFalse(self.occupancy.begin(number, Phase.WORK))
        self.assertEqual(self.occupancy.holding(number).phase, Phase.CLOSING)
        self.occupancy.leave(number)
        self.assertEqual((self.occupancy.connections, self.occupancy.held_bytes), (0, 0))

    def test_a_phase_begins_anew(self) -> None:
        number = self.enter()
        self.occupancy.moved(number, 50)
        self.now_ms = 700
        self.occupancy.begin(number, Phase.HEAD)
        self.assertEqual(
            self.occupancy.holding(number),
            Holding(number, Phase.HEAD, 700, 700, 0, CONNECTION_BYTES),
        )
        self.assertEqual(self.occupancy.idle(), ())


class DocumentsTest(unittest.TestCase):
    def test_parts_are_bounded_from_above(self) -> None:
        body = b'{"specification":"{,","steps":[{"count":1,"after":[]},{"count":2}]}'
        self.assertEqual(count_parts(body), Parts(4, 4))
        self.assertGreater(decoded_bytes(Parts(2, 1)), decoded_bytes(Parts(1, 2)))

    def test_the_densest_ordinary_document_has_fewer_parts_than_the_limit(self) -> None:
        """The steps of such a job all name all steps before them."""
        steps = [
            f'{{"count":1,"after":{list(range(number))}}}'.replace(" ", "") for number in range(370)
        ]
        body = f'{{"specification":"","steps":[{",".join(steps)}]}}'.encode()
        self.assertGreater(len(body), 240_000)
        self.assertLess(count_parts(body).total, DoorLimits().document_parts)


if __name__ == "__main__":
    unittest.main()
