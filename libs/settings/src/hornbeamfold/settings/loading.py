"""Reads settings from YAML text and the environment and reports all errors at once."""

from collections.abc import Mapping
from difflib import get_close_matches
from pathlib import Path
from types import MappingProxyType
from typing import Any

from hornbeamfold.decoding import DecodeError, decode_yaml
from hornbeamfold.settings.rules import (
    ALLOWED_DELAY,
    ALLOWED_ZONE_PAIR,
    KNOWN_KEYS,
    LINK_DELAYS,
    RULES,
    check_delay,
    is_zone_pair,
)
from hornbeamfold.settings.values import SettingError, Settings, SettingsErrors

# Below this ratio, a suggested key is more often wrong than right ("log_url" for "colour").
MIN_SIMILARITY = 0.7
VARIABLE_PREFIX = "HORNBEAMFOLD_"
# Read by the command-line tool only; it is not a setting of an instance.
CLI_ADDRESS_VARIABLE = "HORNBEAMFOLD_ADDRESS"


def read_settings(path: str, environ: Mapping[str, str]) -> Settings | SettingsErrors:
    """Read and validate the settings in a file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return SettingsErrors(
            (SettingError(path, f"cannot be read: {error}", "a readable YAML file"),)
        )
    return load_settings(text, environ)


def load_settings(text: str, environ: Mapping[str, str]) -> Settings | SettingsErrors:
    """Validate the settings in YAML text, overridden by environment variables."""
    try:
        document = decode_yaml(text)
    except DecodeError as error:
        return SettingsErrors(
            (SettingError("(file)", f"is not valid YAML: {error}", "a YAML mapping"),)
        )
    if document is None:
        document = {}
    if not isinstance(document, dict):
        return SettingsErrors((SettingError("(file)", "is not a mapping", "a YAML mapping"),))
    errors: list[SettingError] = []
    values: dict[Any, Any] = dict(document)
    sources = {key: str(key) for key in values}
    _apply_environment(values, sources, environ, errors)
    checked = _check_values(values, sources, errors)
    if errors:
        return SettingsErrors(tuple(errors))
    return Settings(**checked)


def _apply_environment(
    values: dict[Any, Any],
    sources: dict[Any, str],
    environ: Mapping[str, str],
    errors: list[SettingError],
) -> None:
    """Override values from environment variables and record the source of each value."""
    for variable in sorted(environ):
        if not variable.startswith(VARIABLE_PREFIX) or variable == CLI_ADDRESS_VARIABLE:
            continue
        key, separator, subkey = variable.removeprefix(VARIABLE_PREFIX).partition("__")
        key = key.lower()
        sources[key] = f"{key} ({variable})"
        if separator and key != LINK_DELAYS:
            errors.append(
                SettingError(sources[key], "has no nested keys", f"{VARIABLE_PREFIX}{key.upper()}")
            )
            continue
        if key in RULES and RULES[key].is_string:
            values[key] = environ[variable]
            continue
        try:
            value = decode_yaml(environ[variable])
        except DecodeError:
            value = environ[variable]
        if not separator:
            values[key] = value
            continue
        delays = values.get(LINK_DELAYS)
        values[LINK_DELAYS] = {**(delays if isinstance(delays, dict) else {}), subkey: value}


def _check_values(
    values: dict[Any, Any], sources: dict[Any, str], errors: list[SettingError]
) -> dict[str, Any]:
    """Return the valid values and append the errors."""
    checked: dict[str, Any] = {}
    for key in values:
        if key not in KNOWN_KEYS:
            errors.append(SettingError(sources[key], "is not a known key", _suggest_key(str(key))))
    for key, rule in RULES.items():
        if key not in values:
            if rule.required:
                errors.append(SettingError(key, "is missing", rule.allowed))
            continue
        try:
            checked[key] = rule.check(values[key])
        except ValueError as error:
            errors.append(SettingError(sources[key], str(error), rule.allowed))
    if LINK_DELAYS in values:
        checked[LINK_DELAYS] = _check_link_delays(values[LINK_DELAYS], sources[LINK_DELAYS], errors)
    addresses = (checked.get("rpc_address"), checked.get("http_address"))
    if addresses[0] and addresses[0] == addresses[1] and not str(addresses[0]).endswith(":0"):
        errors.append(
            SettingError("http_address", "is the same as rpc_address", "a different address")
        )
    return checked


def _check_link_delays(
    value: object, source: str, errors: list[SettingError]
) -> Mapping[str, float]:
    """Return the valid link delays and append the errors."""
    delays: dict[str, float] = {}
    if not isinstance(value, dict):
        errors.append(
            SettingError(
                source, "is not a mapping", f"a mapping from {ALLOWED_ZONE_PAIR} to {ALLOWED_DELAY}"
            )
        )
        return delays
    for key, milliseconds in value.items():
        path = f"{source}.{key}"
        if not is_zone_pair(key):
            errors.append(SettingError(path, f"{key!r} is not a pair of zones", ALLOWED_ZONE_PAIR))
            continue
        try:
            delays[key] = check_delay(milliseconds)
        except ValueError as error:
            errors.append(SettingError(path, str(error), ALLOWED_DELAY))
    return MappingProxyType(delays)


def _suggest_key(key: str) -> str:
    """Suggest the most similar known key, or list all keys if none is similar."""
    matches = get_close_matches(key.lower(), KNOWN_KEYS, n=1, cutoff=MIN_SIMILARITY)
    if matches:
        return f"did you mean {matches[0]}?"
    return "one of " + ", ".join(KNOWN_KEYS)
