"""Tests of the checks of a configuration, driven from tables."""

import unittest
from dataclasses import replace

from hornbeamfold.batch import Configuration, Limits, Organisation, Queue, Resources, Service
from hornbeamfold.configcheck import Fleet, Severity, check_configuration

QUEUE = Queue("proofs", "proofs.example", "/proofs/", "planner", max_attempts=3)
SERVICE = Service("planner")
ORGANISATION = Organisation("west", ("key-1",), Resources(accelerators=8))
VALID = Configuration(
    7, (QUEUE,), {"planner": SERVICE}, {"west": ORGANISATION}, key_owners={"key-1": "west"}
)
FLEET = Fleet(Resources(64_000, 262_144, 16))


def with_queue(queue: Queue) -> Configuration:
    """Return the valid configuration with a second queue."""
    return replace(VALID, queues=(QUEUE, queue))


def with_organisation(organisation: Organisation) -> Configuration:
    """Return the valid configuration with a second organisation."""
    organisations = {"west": ORGANISATION, organisation.name: organisation}
    return replace(VALID, organisations=organisations)


OTHER = replace(QUEUE, name="other", path_prefix="/other/")
EAST = Organisation("east", ("key-2",))

# The configuration, and the severity, section and field of its only finding.
CASES = {
    "a queue behind one with the same prefix never matches": (
        with_queue(replace(OTHER, path_prefix=QUEUE.path_prefix)),
        (Severity.ERROR, "queue", "path_prefix"),
    ),
    "a prefix without a slash never matches": (
        with_queue(replace(OTHER, path_prefix="other/")),
        (Severity.ERROR, "queue", "path_prefix"),
    ),
    "an empty host never matches": (
        with_queue(replace(OTHER, host="")),
        (Severity.ERROR, "queue", "host"),
    ),
    "a queue for a service that is not there": (
        with_queue(replace(OTHER, service="planer")),
        (Severity.ERROR, "queue", "service"),
    ),
    "a queue for workers that are switched off": (
        replace(VALID, services={"planner": replace(SERVICE, standby=True)}),
        (Severity.WARNING, "queue", "service"),
    ),
    "no attempt is allowed": (
        with_queue(replace(OTHER, max_attempts=0)),
        (Severity.ERROR, "queue", "max_attempts"),
    ),
    "an objective that no job can meet": (
        with_queue(replace(OTHER, stretch=0.5)),
        (Severity.WARNING, "queue", "stretch"),
    ),
    "a key of two organisations": (
        with_organisation(replace(EAST, api_keys=("key-1",))),
        (Severity.ERROR, "organisation", "api_keys"),
    ),
    "an organisation without keys": (
        with_organisation(replace(EAST, api_keys=())),
        (Severity.WARNING, "organisation", "api_keys"),
    ),
    "a guarantee above the limit": (
        with_organisation(
            replace(EAST, guaranteed=Resources(accelerators=4), limit=Resources(accelerators=2))
        ),
        (Severity.ERROR, "organisation", "guaranteed.accelerators"),
    ),
    "a weight of 0": (
        with_organisation(replace(EAST, weight=0.0)),
        (Severity.WARNING, "organisation", "weight"),
    ),
    "guarantees above the fleet": (
        with_organisation(replace(EAST, guaranteed=Resources(accelerators=9))),
        (Severity.ERROR, "organisation", "guaranteed.accelerators"),
    ),
    "a limit that no fleet can reach": (
        with_organisation(replace(EAST, limit=Resources(accelerators=17))),
        (Severity.WARNING, "organisation", "limit.accelerators"),
    ),
    "a body limit of 0": (
        replace(VALID, limits=Limits(max_body_bytes=0)),
        (Severity.ERROR, "limits", "max_body_bytes"),
    ),
}


class ChecksTest(unittest.TestCase):
    def test_each_fault_is_found_alone(self) -> None:
        """Guards against faults that are missed, and against findings beside them."""
        for title, (configuration, expected) in CASES.items():
            with self.subTest(title):
                found = [
                    (each.severity, each.place.section, each.place.field)
                    for each in check_configuration(configuration, FLEET)
                ]
                self.assertEqual(found, [expected])

    def test_a_valid_configuration_has_no_findings(self) -> None:
        """Guards against false alarms, with and without a description of the fleet."""
        self.assertEqual(check_configuration(VALID), ())
        self.assertEqual(check_configuration(VALID, FLEET), ())

    def test_a_limit_of_0_is_no_limit(self) -> None:
        """Guards against a guarantee that is compared with a resource that is not limited."""
        organisation = replace(
            EAST, guaranteed=Resources(accelerators=4), limit=Resources(cpu_millis=8_000)
        )
        self.assertEqual(check_configuration(with_organisation(organisation), FLEET), ())

    def test_errors_come_first(self) -> None:
        """Guards against errors that are lost behind warnings."""
        configuration = replace(with_organisation(replace(EAST, weight=0.0)), limits=Limits(0))
        severities = [each.severity for each in check_configuration(configuration)]
        self.assertEqual(severities, [Severity.ERROR, Severity.WARNING])
