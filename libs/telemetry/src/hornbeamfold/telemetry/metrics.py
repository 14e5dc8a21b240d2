"""OpenTelemetry instruments and their text for Prometheus."""

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


class Record(Protocol):
    """Records one value with its attributes."""

    def __call__(self, value: Number, **attributes: str | int | float | bool) -> None:
        """Record the value."""


class _Metrics:
    """The registry of this process and the instruments made from it.

    Libraries declare instruments at import, before the registry exists, so the way to make each
    instrument is kept and repeated when a registry is set up.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._meter: Meter = NoOpMeter("hornbeamfold")
        self._makers: dict[str, Callable[[Meter], Any]] = {}
        self._instruments: dict[str, Any] = {}

    def declare(self, name: str, make: Callable[[Meter], Any]) -> None:
        """Keep how an instrument is made, and make it."""
        self._makers[name] = make
        self._instruments[name] = make(self._meter)

    def instrument(self, name: str) -> Any:
        """Return the present instrument of that name."""
        return self._instruments[name]

    def start(self, instance: str) -> None:
        """Begin with an empty registry and make all declared instruments again."""
        self._registry = CollectorRegistry()
        resource = Resource({"service.name": "hornbeamfold", "service.instance.id": instance})
        reader = PrometheusMetricReader(registry=self._registry, scope_info_enabled=False)
        provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        self._meter = provider.get_meter("hornbeamfold")
        self._instruments = {name: make(self._meter) for name, make in self._makers.items()}

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


_metrics = _Metrics()


def setup_metrics(instance: str) -> None:
    """Set up the registry of this process; values recorded before are dropped."""
    _metrics.start(instance)


def metrics_text() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return _metrics.text()


def counter(name: str, description: str) -> Record:
    """Declare a counter; Prometheus shows it with the suffix `_total`."""
    _metrics.declare(name, lambda meter: meter.create_counter(name, description=description))

    def record(value: Number, **attributes: str | int | float | bool) -> None:
        _metrics.instrument(name).add(value, attributes)

    return record


def histogram(name: str, unit: str, description: str) -> Record:
    """Declare a histogram; the unit becomes part of its name in Prometheus."""
    _metrics.declare(name, lambda meter: meter.create_histogram(name, unit, description))

    def record(value: Number, **attributes: str | int | float | bool) -> None:
        _metrics.instrument(name).record(value, attributes)

    return record


def gauge(name: str, description: str, callback: GaugeCallback) -> None:
    """Declare a gauge read from `callback`: one number, or pairs of a number and attributes."""

    def observe(options: CallbackOptions) -> Iterable[Observation]:
        value = callback()
        if isinstance(value, int | float):
            return [Observation(value)]
        return [Observation(number, attributes) for number, attributes in value]

    _metrics.declare(
        name,
        lambda meter: meter.create_observable_gauge(name, [observe], description=description),
    )
