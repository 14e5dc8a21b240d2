"""Run-time estimates learned from finished jobs, for each organisation and kind."""

from collections import OrderedDict
from collections.abc import Mapping
from types import MappingProxyType

from hornbeamfold.model.estimates import learn

# Kinds are free text of callers, so their number needs a bound.
MAX_ESTIMATES = 4_096

EstimateKey = tuple[str, str]


class Estimates:
    """The factors by organisation and kind, the least recently learned first."""

    def __init__(self) -> None:
        self._factors: OrderedDict[EstimateKey, float] = OrderedDict()
        self._view = MappingProxyType(self._factors)

    @property
    def by_kind(self) -> Mapping[EstimateKey, float]:
        """The factor of each organisation and kind."""
        return self._view

    def put(self, key: EstimateKey, factor: float) -> None:
        """Set a factor and evict the least recently learned one if there are too many."""
        self._factors[key] = factor
        self._factors.move_to_end(key)
        if len(self._factors) > MAX_ESTIMATES:
            self._factors.popitem(last=False)

    def observe(self, key: EstimateKey, declared_ms: int, actual_ms: int) -> None:
        """Learn from one finished run."""
        self.put(key, learn(self._factors.get(key, 1.0), declared_ms, actual_ms))

    def drop_organisation(self, name: str) -> None:
        """Remove what was learned of a removed organisation."""
        for key in [key for key in self._factors if key[0] == name]:
            del self._factors[key]
