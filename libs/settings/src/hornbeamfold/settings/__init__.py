"""Loading and validation of the YAML settings of an entry instance."""

from hornbeamfold.settings.loading import load_settings, read_settings
from hornbeamfold.settings.values import (
    SettingError,
    Settings,
    SettingsErrors,
    format_settings_errors,
)

__all__ = [
    "SettingError",
    "Settings",
    "SettingsErrors",
    "format_settings_errors",
    "load_settings",
    "read_settings",
]
