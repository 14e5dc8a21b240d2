"""Runs random rows of the fault matrix: python -m hornbeamfold.bench.random_faults --seconds n."""

import asyncio
import sys
import time
from argparse import ArgumentParser
from collections import Counter
from dataclasses import replace
from random import Random

from hornbeamfold.bench.demo import configure
from hornbeamfold.bench.fault_actions import in_sequence
from hornbeamfold.bench.fault_checks import check_evidence, monitor
from hornbeamfold.bench.fault_evidence import Evidence, Fault
from hornbeamfold.bench.fault_scenario import Scenario
from hornbeamfold.bench.fault_steps import STEPS, Step
from hornbeamfold.bench.fault_table import FAULTS
from hornbeamfold.bench.faults import FLEET_OPTIONS, run_wave
from hornbeamfold.bench.fleet import Fleet, running_fleet
from hornbeamfold.bench.topologies import rampes

# These only change stand-ins, so they can be combined with any other fault.
COMBINABLE_FAULTS = (
    "log down",
    "log slow",
    "log reply lost",
    "late duplicate append",
    "worker replies cut",
)
COMBINED_SHARE = 0.4
MIN_DURATION_FACTOR, MAX_DURATION_FACTOR = 0.3, 1.1


async def end_standin_faults(scenario: Scenario) -> None:
    """End the faults of the stand-ins, because ending some faults needs the log to publish."""
    await scenario.end_faults()


def random_fault(rng: Random) -> Fault:
    """Return a fault, or two combined, with a random duration."""
    fault = rng.choice(FAULTS)
    if rng.random() < COMBINED_SHARE:
        other = rng.choice(
            [one for one in FAULTS if one.name in COMBINABLE_FAULTS and one != fault]
        )
        fault = replace(
            fault,
            name=f"{fault.name} & {other.name}",
            inject=in_sequence(fault.inject, other.inject),
            end=in_sequence(end_standin_faults, fault.end),
            blocks_starts=fault.blocks_starts or other.blocks_starts,
            not_applicable={**fault.not_applicable, **other.not_applicable},
        )
    return replace(
        fault, hold_s=fault.hold_s * rng.uniform(MIN_DURATION_FACTOR, MAX_DURATION_FACTOR)
    )


def random_steps(rng: Random, fault: Fault) -> list[Step]:
    """Return random steps of one wave to which the fault applies."""
    wave = rng.choice((1, 1, 2, 3))
    possible = [one for one in STEPS if one.wave == wave and one.name not in fault.not_applicable]
    if not possible:
        return []
    return sorted(rng.sample(possible, rng.randint(1, len(possible))), key=STEPS.index)


async def run(fleet: Fleet, seconds: float, seed: int, evidence: Evidence) -> Counter[str]:
    """Inject random faults into random steps for a time; return how often each was injected."""
    rng = Random(seed)
    tried: Counter[str] = Counter()
    first = Scenario(fleet, FAULTS[0], evidence)
    await configure(first.healthy()[0].address, fleet.topology)
    await first.fill_with_borrowers(len(fleet.topology.workers))
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        fault = random_fault(rng)
        steps = random_steps(rng, fault)
        if not steps:
            continue
        number = sum(tried.values())
        tried[fault.name] += 1
        before = {name: len(found) for name, found in evidence.problems.items()}
        scenario = Scenario(
            fleet, fault, evidence, f"random{number}", rng.choice(list(fleet.daemons))
        )
        monitoring = asyncio.create_task(monitor(scenario))
        try:
            await scenario.restore()
            await run_wave(scenario, steps)
        except (TimeoutError, OSError, RuntimeError) as error:
            evidence.add_problem("restore", f"{type(error).__name__}: {error}")
        monitoring.cancel()
        check_evidence(evidence, fleet.starts())
        names = ", ".join(step.name for step in steps)
        print(f"{number}: {fault.name} for {fault.hold_s:.1f} s: {names}", flush=True)
        for name, found in evidence.problems.items():
            for problem in found[before.get(name, 0) :]:
                print(f"   VIOLATED {name}: {problem[:400]}", flush=True)
    return tried


def main() -> int:
    """Inject random faults and print what was tried and violated."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=int(time.time()) % 100_000)
    chosen = parser.parse_args()
    print(f"seed {chosen.seed}", flush=True)
    evidence = Evidence()
    with running_fleet(rampes(), FLEET_OPTIONS) as fleet:
        tried = asyncio.run(run(fleet, chosen.seconds, chosen.seed, evidence))
        lines = fleet.violations()
    for line in lines[:10]:
        print(f"VIOLATED log: {line}")
    violated = sum(len(found) for found in evidence.problems.values()) + len(lines)
    print(
        f"seed {chosen.seed}: {sum(tried.values())} waves, {len(tried)} kinds of faults, "
        f"{len(evidence.attempts)} calls, {violated} violated"
    )
    return 1 if violated else 0


if __name__ == "__main__":
    sys.exit(main())
