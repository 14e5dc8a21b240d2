"""Folds log records into the cluster view; snapshots."""
