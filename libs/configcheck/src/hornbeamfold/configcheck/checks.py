"""Finds errors, entries that never match and limits that contradict each other."""

from collections import Counter
from collections.abc import Iterable, Iterator

from hornbeamfold.batch import Configuration, Organisation, Queue, Resources
from hornbeamfold.configcheck.findings import Finding, Fleet, Place, Severity

RESOURCE_FIELDS = ("cpu_millis", "memory_mb", "accelerators")


def check_configuration(
    configuration: Configuration, fleet: Fleet | None = None
) -> tuple[Finding, ...]:
    """Return the problems of a configuration, errors first.

    With a `fleet`, guarantees and limits are compared with its capacity as well.
    """
    found = [
        *_queue_findings(configuration),
        *_key_findings(configuration.organisations.values()),
        *_organisation_findings(configuration.organisations.values()),
        *_limit_findings(configuration),
    ]
    if fleet is not None:
        found.extend(_fleet_findings(configuration.organisations.values(), fleet))
    return tuple(sorted(found, key=lambda each: each.severity is not Severity.ERROR))


def _queue_findings(configuration: Configuration) -> Iterator[Finding]:
    names = Counter(queue.name for queue in configuration.queues)
    first_at: dict[tuple[str, str], Queue] = {}
    for queue in configuration.queues:
        if names[queue.name] > 1:
            yield _error("queue", queue.name, "name", "several queues have this name")
        service = configuration.services.get(queue.service)
        if service is None:
            yield _error("queue", queue.name, "service", f"there is no service {queue.service}")
        elif service.standby:
            yield _warning(
                "queue", queue.name, "service", f"the workers of {queue.service} are switched off"
            )
        if not queue.path_prefix.startswith("/"):
            yield _error("queue", queue.name, "path_prefix", "no path begins with this prefix")
        if not queue.host:
            yield _error("queue", queue.name, "host", "no call is for an empty host")
        first = first_at.setdefault((queue.host, queue.path_prefix), queue)
        if first is not queue:
            yield _error(
                "queue",
                queue.name,
                "path_prefix",
                f"never matches: {first.name} comes first with the same host and prefix",
            )
        yield from _objective_findings(queue)


def _objective_findings(queue: Queue) -> Iterator[Finding]:
    if queue.max_attempts < 1:
        yield _error("queue", queue.name, "max_attempts", "tasks may not be attempted even once")
    if queue.stretch < 1 and not queue.slack_ms:
        yield _warning(
            "queue", queue.name, "stretch", "the objective is shorter than the work of a job"
        )


def _key_findings(organisations: Iterable[Organisation]) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for organisation in organisations:
        if not organisation.api_keys:
            yield _warning(
                "organisation", organisation.name, "api_keys", "it can call public queues only"
            )
        for key in organisation.api_keys:
            owner = owners.setdefault(key, organisation.name)
            if owner != organisation.name:
                yield _error(
                    "organisation",
                    organisation.name,
                    "api_keys",
                    f"a key belongs to {owner} as well",
                )


def _organisation_findings(organisations: Iterable[Organisation]) -> Iterator[Finding]:
    for organisation in organisations:
        for name in RESOURCE_FIELDS:
            limit: int = getattr(organisation.limit, name)
            guaranteed: int = getattr(organisation.guaranteed, name)
            if limit and guaranteed > limit:
                yield _error(
                    "organisation",
                    organisation.name,
                    f"guaranteed.{name}",
                    f"the guarantee of {guaranteed} exceeds the limit of {limit}",
                )
        if organisation.weight == 0:
            yield _warning(
                "organisation", organisation.name, "weight", "it is owed nothing when all is in use"
            )


def _limit_findings(configuration: Configuration) -> Iterator[Finding]:
    limits = configuration.limits
    for name in ("max_header_bytes", "max_body_bytes", "idle_timeout_ms"):
        if not getattr(limits, name):
            yield _error("limits", "", name, "every call exceeds a limit of 0")


def _fleet_findings(organisations: Iterable[Organisation], fleet: Fleet) -> Iterator[Finding]:
    guaranteed = Resources()
    for organisation in organisations:
        guaranteed = guaranteed + organisation.guaranteed
        for name in RESOURCE_FIELDS:
            limit: int = getattr(organisation.limit, name)
            capacity: int = getattr(fleet.capacity, name)
            if limit > capacity:
                yield _warning(
                    "organisation",
                    organisation.name,
                    f"limit.{name}",
                    f"the limit of {limit} has no effect: the fleet has {capacity}",
                )
    for name in RESOURCE_FIELDS:
        total: int = getattr(guaranteed, name)
        capacity = getattr(fleet.capacity, name)
        if total > capacity:
            yield _error(
                "organisation",
                "",
                f"guaranteed.{name}",
                f"all guarantees together are {total}, and the fleet has {capacity}",
            )


def _error(section: str, entry: str, field: str, problem: str) -> Finding:
    return Finding(Severity.ERROR, Place(section, entry, field), problem)


def _warning(section: str, entry: str, field: str, problem: str) -> Finding:
    return Finding(Severity.WARNING, Place(section, entry, field), problem)
