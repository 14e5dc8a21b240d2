"""Loading and validation of the YAML settings of an entry instance."""

from hornbeamfold.settings.loading import load_settings, read_settings
from hornbeamfold.settings.values import SettingError, Settings, SettingsErrors, describe_faults

__all__ = [
    "SettingError",
    "Settings",
    "SettingsErrors",
    "describe_faults",
    "load_settings",
    "read_settings",
]
