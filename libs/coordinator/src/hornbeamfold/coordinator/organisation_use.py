"""What the runs of organisations may be using, with what is not known for certain."""

from collections.abc import Callable, Collection, Iterable

from hornbeamfold.batch import Configuration, Resources, RunName, Worker
from hornbeamfold.scheduling import OrganisationUse

NOTHING = Resources()


class UseByOrganisation:
    """The resources of the runs that are recorded and whose ends are not known."""

    def __init__(self) -> None:
        self._runs: dict[RunName, tuple[str, Resources]] = {}
        self._used: dict[str, Resources] = {}

    def add(self, name: RunName, organisation: str, demand: Resources) -> None:
        """Count a run of an organisation."""
        self._runs[name] = (organisation, demand)
        self._used[organisation] = self.of(organisation) + demand

    def remove(self, name: RunName) -> None:
        """Cease to count a run."""
        organisation, demand = self._runs.pop(name)
        self._used[organisation] = self.of(organisation) - demand

    def counted(self, name: RunName) -> tuple[str, Resources]:
        """Return the organisation of a run that is counted, and what it uses."""
        return self._runs[name]

    def of(self, organisation: str) -> Resources:
        """Return what the runs of an organisation use."""
        return self._used.get(organisation, NOTHING)


def uncertain_use(
    workers: Iterable[tuple[Worker, int]],
    unread_workers: Collection[str],
    reserved_on: Callable[[str], Resources],
    now_ms: int,
) -> Resources:
    """Return the most that runs may use that the coordinator does not know.

    A former coordinator may have been stopping runs of jobs that had ended, of which there is no
    record. `workers` come with the time by which such runs on them have ended. Those in
    `unread_workers` have runs of jobs that are not read yet. Each of these workers may be full;
    `reserved_on` returns what the known runs reserve there.
    """
    uncertain = NOTHING
    for worker, unknown_until_ms in workers:
        if now_ms > unknown_until_ms and worker.worker_id not in unread_workers:
            continue
        unused = worker.capacity - reserved_on(worker.worker_id)
        uncertain = uncertain + Resources(
            max(0, unused.cpu_millis), max(0, unused.memory_mb), max(0, unused.accelerators)
        )
    return uncertain


def organisation_uses(
    configuration: Configuration | None,
    used_by: Callable[[str], Resources],
    uncertain: Resources,
) -> dict[str, OrganisationUse]:
    """Return the use of the organisations that have limits or weights."""
    if configuration is None:
        return {}
    return {
        each.name: OrganisationUse(used_by(each.name), each.limit, each.weight, uncertain)
        for each in configuration.organisations.values()
        if each.limit != NOTHING or each.weight is not None
    }


def limit_of(configuration: Configuration | None, organisation: str) -> Resources:
    """Return what an organisation may have running; a resource that is 0 is not limited."""
    found = None if configuration is None else configuration.organisations.get(organisation)
    return NOTHING if found is None else found.limit
