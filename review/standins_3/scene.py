"""Sets a case up, plays it, and ends all that it has started."""

import os
import signal
import sys
import threading
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from fleet import COULD_NOT_RUN, Caller, Fleet, configuration
from world import Recorder, World

WORKER_ZONES = ["sousse-depot", "monastir-annex", "sfax-depot"]
WORKERS = 24
INSTANCE_ZONES = ("sousse-depot", "monastir-annex", "sousse-depot")
# A script may take 120 s.
MAX_CASE_S = 110.0
# The platform sends traffic some seconds after it has started the machines.
SETTLE_S = 4.0


@dataclass(frozen=True)
class Scene:
    """What a case plays with; without `trouble` it plays the same without the disruption."""

    world: World
    recorder: Recorder
    fleet: Fleet
    caller: Caller
    trouble: bool


def run_case(folder: Path, play: Callable[[Scene], int]) -> int:
    """Play a case with three instances; return the exit status."""
    recorder = Recorder()
    world = World(recorder, WORKER_ZONES, WORKERS)
    world.configure(configuration(1))
    fleet = Fleet(world.store_address, INSTANCE_ZONES)

    def give_up() -> None:
        fleet.end()
        recorder.write(folder / "record.txt")
        os._exit(COULD_NOT_RUN)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    watchdog = threading.Timer(MAX_CASE_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        if not fleet.start():
            return COULD_NOT_RUN
        time.sleep(SETTLE_S)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        return play(Scene(world, recorder, fleet, Caller(recorder, fleet), trouble))
    except Exception:
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        fleet.end()
        recorder.write(folder / "record.txt")
