"""The most valuable cells of the fault matrix, on running fleets."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from hornbeamfold.bench.fault_table import FAULTS
from hornbeamfold.bench.faults import HELD, chosen_steps, row

# Each row starts 7 processes.
PARALLEL = 3
QUICK = {
    "worker dead": ["running"],
    "zone out": ["running"],
    "kill": ["answering", "dispatched", "claimed"],
    "late duplicate append": ["draining"],
    "log reply lost": ["accepted", "publishing"],
    "operators racing": ["publishing"],
}


class QuickMatrix(unittest.TestCase):
    def test_promises_hold(self) -> None:
        """Guards against promises broken by a kill, a lost reply, a drain, operators or workers."""
        faults = {one.name: one for one in FAULTS}
        with ThreadPoolExecutor(PARALLEL) as pool:
            rows = [
                pool.submit(row, faults[name], chosen_steps(steps)) for name, steps in QUICK.items()
            ]
            cells = [cell for one in rows for cell in one.result()]
        self.assertEqual(len(cells), sum(len(steps) + 1 for steps in QUICK.values()))
        for cell in cells:
            with self.subTest(fault=cell.fault, step=cell.step):
                self.assertEqual(cell.result, HELD, cell.detail)


if __name__ == "__main__":
    unittest.main()
