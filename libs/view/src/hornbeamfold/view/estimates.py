"""Run-time correction factors learned from finished jobs, by organisation and job kind."""

from collections import OrderedDict
from collections.abc import Mapping
from types import MappingProxyType

from hornbeamfold.model.estimates import update_correction_factor

# Callers choose kinds freely, so the number of factors kept needs a limit.
MAX_ESTIMATES = 4_096

EstimateKey = tuple[str, str]


class Estimates:
    """The factor by which the run times that an organisation declares for a kind are off.

    The factors are in least recently updated order.
    """

    def __init__(self) -> None:
        self._factors: OrderedDict[EstimateKey, float] = OrderedDict()
        self._view = MappingProxyType(self._factors)

    @property
    def by_kind(self) -> Mapping[EstimateKey, float]:
        """The factor for each organisation and kind."""
        return self._view

    def put(self, key: EstimateKey, factor: float) -> None:
        """Set a factor and evict the least recently updated one if there are too many."""
        self._factors[key] = factor
        self._factors.move_to_end(key)
        if len(self._factors) > MAX_ESTIMATES:
            self._factors.popitem(last=False)

    def observe(self, key: EstimateKey, declared_ms: int, actual_ms: int) -> None:
        """Update the factor with the run time of one finished job."""
        self.put(key, update_correction_factor(self._factors.get(key, 1.0), declared_ms, actual_ms))

    def drop_organisation(self, name: str) -> None:
        """Remove the factors of a removed organisation."""
        for key in [key for key in self._factors if key[0] == name]:
            del self._factors[key]
