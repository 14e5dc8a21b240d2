"""Randomised soak test: instance processes on the emulated platform under injected faults."""
