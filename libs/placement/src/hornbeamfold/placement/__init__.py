"""Gang placement, guarantees, reclaim, backfill and estimates."""
