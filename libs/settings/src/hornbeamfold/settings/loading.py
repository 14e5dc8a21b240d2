"""Reads settings from YAML text and the environment and lists every fault at once."""

from collections.abc import Mapping
from difflib import get_close_matches
from pathlib import Path
from types import MappingProxyType
from typing import Any

from yaml import YAMLError, safe_load

from hornbeamfold.settings.rules import (
    DELAY,
    KNOWN_KEYS,
    LINK_DELAYS,
    RULES,
    ZONE_PAIR,
    delay,
    is_zone_pair,
)
from hornbeamfold.settings.values import Fault, Settings, SettingsFaults

# Below this ratio a suggestion is more often wrong than right ("log_url" for "colour").
MIN_SIMILARITY = 0.7
PREFIX = "HORNBEAMFOLD_"
# The command-line tool reads this variable; it says nothing about an instance.
TOOL_VARIABLE = "HORNBEAMFOLD_ADDRESS"


def read_settings(path: str, environ: Mapping[str, str]) -> Settings | SettingsFaults:
    """Read and check the settings in a file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return SettingsFaults((Fault(path, f"cannot be read: {error}", "a readable YAML file"),))
    return load_settings(text, environ)


def load_settings(text: str, environ: Mapping[str, str]) -> Settings | SettingsFaults:
    """Check the settings in YAML text after the overrides from the environment."""
    try:
        document = safe_load(text)
    except YAMLError as error:
        problem = " ".join(str(error).split())
        return SettingsFaults((Fault("(file)", f"is not YAML: {problem}", "a YAML mapping"),))
    if document is None:
        document = {}
    if not isinstance(document, dict):
        return SettingsFaults((Fault("(file)", "is not a mapping", "a YAML mapping"),))
    faults: list[Fault] = []
    values: dict[Any, Any] = dict(document)
    sources = {key: str(key) for key in values}
    _override(values, sources, environ, faults)
    checked = _check(values, sources, faults)
    if faults:
        return SettingsFaults(tuple(faults))
    return Settings(**checked)


def _override(
    values: dict[Any, Any],
    sources: dict[Any, str],
    environ: Mapping[str, str],
    faults: list[Fault],
) -> None:
    """Put the overrides into the values and note where each value comes from."""
    for variable in sorted(environ):
        if not variable.startswith(PREFIX) or variable == TOOL_VARIABLE:
            continue
        key, separator, rest = variable.removeprefix(PREFIX).partition("__")
        key = key.lower()
        sources[key] = f"{key} ({variable})"
        if separator and key != LINK_DELAYS:
            faults.append(Fault(sources[key], "has no levels below it", f"{PREFIX}{key.upper()}"))
            continue
        if key in RULES and RULES[key].is_text:
            values[key] = environ[variable]
            continue
        try:
            value = safe_load(environ[variable])
        except YAMLError:
            value = environ[variable]
        if not separator:
            values[key] = value
            continue
        delays = values.get(LINK_DELAYS)
        values[LINK_DELAYS] = {**(delays if isinstance(delays, dict) else {}), rest: value}


def _check(values: dict[Any, Any], sources: dict[Any, str], faults: list[Fault]) -> dict[str, Any]:
    """Return the checked values and collect the faults."""
    checked: dict[str, Any] = {}
    for key in values:
        if key not in KNOWN_KEYS:
            faults.append(Fault(sources[key], "is not a known key", _nearest(str(key))))
    for key, rule in RULES.items():
        if key not in values:
            if rule.required:
                faults.append(Fault(key, "is missing", rule.allowed))
            continue
        try:
            checked[key] = rule.check(values[key])
        except ValueError as error:
            faults.append(Fault(sources[key], str(error), rule.allowed))
    if LINK_DELAYS in values:
        checked[LINK_DELAYS] = _check_delays(values[LINK_DELAYS], sources[LINK_DELAYS], faults)
    addresses = (checked.get("rpc_address"), checked.get("http_address"))
    if addresses[0] and addresses[0] == addresses[1] and not str(addresses[0]).endswith(":0"):
        faults.append(Fault("http_address", "is also rpc_address", "an address of its own"))
    return checked


def _check_delays(value: object, source: str, faults: list[Fault]) -> Mapping[str, float]:
    """Return the checked link delays and collect the faults."""
    delays: dict[str, float] = {}
    if not isinstance(value, dict):
        faults.append(Fault(source, "is not a mapping", f"a mapping from {ZONE_PAIR} to {DELAY}"))
        return delays
    for key, milliseconds in value.items():
        path = f"{source}.{key}"
        if not is_zone_pair(key):
            faults.append(Fault(path, f"{key!r} is not a pair of zones", ZONE_PAIR))
            continue
        try:
            delays[key] = delay(milliseconds)
        except ValueError as error:
            faults.append(Fault(path, str(error), DELAY))
    return MappingProxyType(delays)


def _nearest(key: str) -> str:
    """Return the nearest known key, or all if none is near."""
    near = get_close_matches(key.lower(), KNOWN_KEYS, n=1, cutoff=MIN_SIMILARITY)
    if near:
        return f"did you mean {near[0]}?"
    return "one of " + ", ".join(KNOWN_KEYS)
