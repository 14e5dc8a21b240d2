"""Live instances, suspicion, ranking and the freshness rule."""
