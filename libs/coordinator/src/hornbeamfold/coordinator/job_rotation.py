"""The order in which planning passes offer jobs if there are too many for one pass."""

from collections.abc import Iterator, Mapping
from itertools import zip_longest

from hornbeamfold.coordinator.tracked import TrackedJob

# The organisation, and whether its jobs are urgent.
_Group = tuple[str, bool]


class JobRotation:
    """Lets the urgent and the other jobs of all organisations take turns.

    A pass goes on behind the last jobs of the previous one, so that jobs for which there is no room
    keep no others out.
    """

    def __init__(self) -> None:
        self._last: dict[_Group, str] = {}

    def in_turns(self, jobs: Mapping[str, TrackedJob]) -> Iterator[TrackedJob]:
        """Yield all jobs; those that the caller does not take come first the next time."""
        groups: dict[_Group, list[str]] = {}
        for job_id, tracked in jobs.items():
            group = (tracked.job.organisation, tracked.job.priority == 0)
            groups.setdefault(group, []).append(job_id)
        turns = [self._from_last(group, job_ids) for group, job_ids in groups.items()]
        last = {group: self._last[group] for group in groups if group in self._last}
        self._last = last
        for turn in zip_longest(*turns):
            for group, job_id in zip(groups, turn, strict=True):
                if job_id is None:
                    continue
                last[group] = job_id
                yield jobs[job_id]

    def _from_last(self, group: _Group, job_ids: list[str]) -> list[str]:
        """Return the jobs of a group, beginning behind the one that was offered last."""
        last = self._last.get(group)
        begin = job_ids.index(last) + 1 if last in job_ids else 0
        return job_ids[begin:] + job_ids[:begin]
