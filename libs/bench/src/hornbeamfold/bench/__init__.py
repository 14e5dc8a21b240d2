"""Demo, fault matrix, measurements, slopes and soak."""
