"""Demo, fault matrix, random faults, measurements and cost slopes."""
