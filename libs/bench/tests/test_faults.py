"""A selection of the cells of the fault matrix, on running fleets."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from hornbeamfold.bench.fault_table import FAULTS
from hornbeamfold.bench.faults import HELD, run_row_on_new_fleet, select_steps

# Each row runs 7 processes.
MAX_PARALLEL_ROWS = 3
SELECTED_CELLS = {
    "worker dead": ["running"],
    "zone out": ["running"],
    "kill": ["answering", "dispatched", "claimed"],
    "late duplicate append": ["draining"],
    "log reply lost": ["accepted", "publishing"],
    "operators racing": ["publishing"],
}


class QuickMatrix(unittest.TestCase):
    def test_promises_hold(self) -> None:
        """Guards against promises broken by kills, lost replies, drains, operators or workers."""
        faults = {one.name: one for one in FAULTS}
        with ThreadPoolExecutor(MAX_PARALLEL_ROWS) as pool:
            rows = [
                pool.submit(run_row_on_new_fleet, faults[name], select_steps(steps))
                for name, steps in SELECTED_CELLS.items()
            ]
            cells = [cell for one in rows for cell in one.result()]
        self.assertEqual(len(cells), sum(len(steps) + 1 for steps in SELECTED_CELLS.values()))
        for cell in cells:
            with self.subTest(fault=cell.fault, step=cell.step):
                self.assertEqual(cell.result, HELD, cell.detail)


if __name__ == "__main__":
    unittest.main()
