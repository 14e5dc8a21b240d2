"""HTTP client of the workers."""
