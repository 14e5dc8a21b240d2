"""OpenTelemetry instruments, exported in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, NoOpMeter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

Number = int | float
Attributes = Mapping[str, str | int | float | bool]
GaugeCallback = Callable[[], Number | Iterable[tuple[Number, Attributes]]]


class Recorder(Protocol):
    """A function that records one value with its attributes."""

    def __call__(self, value: Number, **attributes: str | int | float | bool) -> None:
        """Record the value."""


class _Metrics:
    """The metrics registry of this process and its instruments.

    Libraries declare instruments at import, before the registry is set up, so the factory of each
    instrument is kept and called again for every new registry.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._meter: Meter = NoOpMeter("hornbeamfold")
        self._factories: dict[str, Callable[[Meter], Any]] = {}
        self._instruments: dict[str, Any] = {}

    def declare(self, name: str, factory: Callable[[Meter], Any]) -> None:
        """Register the factory of an instrument and create the instrument."""
        self._factories[name] = factory
        self._instruments[name] = factory(self._meter)

    def instrument(self, name: str) -> Any:
        """Return the instrument of that name in the current registry."""
        return self._instruments[name]

    def reset(self, instance: str) -> None:
        """Replace the registry by an empty one and recreate all declared instruments."""
        self._registry = CollectorRegistry()
        resource = Resource({"service.name": "hornbeamfold", "service.instance.id": instance})
        reader = PrometheusMetricReader(registry=self._registry, scope_info_enabled=False)
        provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        self._meter = provider.get_meter("hornbeamfold")
        self._instruments = {
            name: factory(self._meter) for name, factory in self._factories.items()
        }

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


_metrics = _Metrics()


def setup_metrics(instance: str) -> None:
    """Set up the metrics registry of this process; values recorded before are discarded."""
    _metrics.reset(instance)


def metrics_text() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return _metrics.render()


def counter(name: str, description: str) -> Recorder:
    """Declare a counter; its name has the suffix `_total` in Prometheus."""
    _metrics.declare(name, lambda meter: meter.create_counter(name, description=description))

    def record(value: Number, **attributes: str | int | float | bool) -> None:
        _metrics.instrument(name).add(value, attributes)

    return record


def histogram(name: str, unit: str, description: str) -> Recorder:
    """Declare a histogram; its name has the unit as a suffix in Prometheus."""
    _metrics.declare(name, lambda meter: meter.create_histogram(name, unit, description))

    def record(value: Number, **attributes: str | int | float | bool) -> None:
        _metrics.instrument(name).record(value, attributes)

    return record


def gauge(name: str, description: str, callback: GaugeCallback) -> None:
    """Declare a gauge; `callback` returns one number, or pairs of a number and its attributes."""

    def observe(options: CallbackOptions) -> Iterable[Observation]:
        value = callback()
        if isinstance(value, int | float):
            return [Observation(value)]
        return [Observation(number, attributes) for number, attributes in value]

    _metrics.declare(
        name,
        lambda meter: meter.create_observable_gauge(name, [observe], description=description),
    )
