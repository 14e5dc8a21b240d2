"""The topologies of two sample deployments: workers, availability zones and organisations."""

from dataclasses import dataclass

from hornbeamfold.model.topology import AvailabilityZone, Organisation, Shape, Span, Worker

WORKERS_PER_RACK = 8
LOCAL_ADDRESS = "127.0.0.1:0"


@dataclass(frozen=True)
class Topology:
    """A deployment: its zones, workers, organisations and the zone of each entry instance."""

    name: str
    zones: tuple[AvailabilityZone, ...]
    workers: tuple[Worker, ...]
    organisations: tuple[Organisation, ...]
    entry_zones: tuple[str, ...]
    store_zone: str
    zone_delay_ms: float
    region_delay_ms: float

    @property
    def regions(self) -> dict[str, str]:
        """The region of each availability zone."""
        return {zone.name: zone.region for zone in self.zones}


def rampes() -> Topology:
    """Return Rampes Sahel Accessibilité: three zones in two regions, 24 workers."""
    zones = (
        AvailabilityZone("sousse", "sahel-east"),
        AvailabilityZone("monastir", "sahel-east"),
        AvailabilityZone("sfax", "sfax-south"),
    )
    organisations = (
        Organisation("sousse-crew", (Shape(16, 128, 512),), 2.0),
        Organisation("sfax-crew", (Shape(16, 128, 512),), 2.0),
        Organisation("surveyors", (Shape(8, 64, 256, Span.WORKER),), 1.0),
        Organisation("accounts", (Shape(4, 16, 64, Span.WORKER),), 1.0),
    )
    entry_zones = ("sousse", "monastir", "sfax", "sousse", "monastir", "sfax", "sousse", "monastir")
    return Topology(
        "rampes", zones, _workers(zones, 64, 256), organisations, entry_zones, "sousse", 1.0, 20.0
    )


def highwater() -> Topology:
    """Return Highwater Marker Works: three zones in two regions, 24 workers."""
    zones = (
        AvailabilityZone("regina", "saskatchewan"),
        AvailabilityZone("saskatoon", "saskatchewan"),
        AvailabilityZone("brandon", "manitoba"),
    )
    organisations = (
        Organisation("towns", (Shape(16, 64, 256),), 2.0),
        Organisation("conservation", (Shape(32, 128, 512),), 2.0),
        Organisation("foundry", (Shape(8, 32, 128, Span.WORKER),), 1.0),
        Organisation("clerks", (Shape(4, 8, 32, Span.WORKER),), 1.0),
    )
    entry_zones = ("regina", "saskatoon", "brandon") * 3
    return Topology(
        "highwater",
        zones,
        _workers(zones, 32, 128),
        organisations,
        entry_zones,
        "regina",
        0.5,
        20.0,
    )


def _workers(
    zones: tuple[AvailabilityZone, ...], processors: int, memory_gb: int
) -> tuple[Worker, ...]:
    workers: list[Worker] = []
    for zone in zones:
        for position in range(WORKERS_PER_RACK):
            workers.append(
                Worker(
                    name=f"{zone.name}-{position}",
                    address=LOCAL_ADDRESS,
                    availability_zone=zone.name,
                    rack=f"{zone.name}-rack",
                    position=position,
                    processors=processors,
                    memory_gb=memory_gb,
                    accelerators=8,
                    slots=8,
                    connections=64,
                )
            )
    return tuple(workers)
