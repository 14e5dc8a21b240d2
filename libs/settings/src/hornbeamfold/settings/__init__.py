"""YAML settings of an entry instance, checked in full."""
