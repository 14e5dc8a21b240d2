"""Demo, fault matrix, measurements, slopes and random faults."""
