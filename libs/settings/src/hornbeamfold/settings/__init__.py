"""YAML settings of an entry instance, checked in full."""

from hornbeamfold.settings.loading import load_settings, read_settings
from hornbeamfold.settings.values import Fault, Settings, SettingsFaults, describe_faults

__all__ = [
    "Fault",
    "Settings",
    "SettingsFaults",
    "describe_faults",
    "load_settings",
    "read_settings",
]
