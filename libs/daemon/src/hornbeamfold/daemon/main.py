"""The entry point of the daemon."""

import os
import signal
import sys
import warnings
from typing import Annotated

# Eventlet is deprecated, but a choice of the project's users; the design page has the way to
# replace it.
warnings.filterwarnings("ignore", category=DeprecationWarning, module="eventlet")

import eventlet  # noqa: E402
from eventlet import hubs  # noqa: E402

# grpclib needs an asyncio loop, so the asyncio hub must be selected before any hub is used.
hubs.use_hub("eventlet.hubs.asyncio")
eventlet.monkey_patch()

from typer import Exit, Option, Typer, echo  # noqa: E402

from hornbeamfold.daemon.instance import Lifecycle, build, start, stop  # noqa: E402
from hornbeamfold.settings import SettingsErrors, format_settings_errors, read_settings  # noqa: E402
from hornbeamfold.telemetry import (  # noqa: E402
    configure_logging,
    install_invariant_reporter,
    setup_metrics,
)

EXIT_SETTINGS = 2


def serve(
    settings_path: Annotated[str, Option("--settings", help="The YAML file with the settings.")],
    check: Annotated[bool, Option("--check", help="Check the settings and exit.")] = False,
) -> None:
    """Run one entry instance until SIGTERM or SIGINT, then drain and exit."""
    settings = read_settings(settings_path, os.environ)
    if isinstance(settings, SettingsErrors):
        echo(format_settings_errors(settings), err=True)
        raise Exit(EXIT_SETTINGS)
    if check:
        echo(f"{settings_path}: the settings of {settings.name} are complete.")
        return
    configure_logging(settings.name, settings.log_level)
    setup_metrics(settings.name)
    install_invariant_reporter(settings.strict_invariants)
    lifecycle = Lifecycle()
    parts = build(settings, lifecycle)
    stopping = eventlet.event.Event()
    # The loop's signal handler wakes an idle hub, which a handler set with `signal` may not do.
    loop = hubs.get_hub().loop
    loop.add_signal_handler(signal.SIGTERM, _signal_once, stopping)
    loop.add_signal_handler(signal.SIGINT, _signal_once, stopping)
    server = start(parts, settings, lifecycle)
    stopping.wait()
    stop(parts, server, settings, lifecycle)
    sys.stderr.flush()
    # Exit at once: green threads that wait for workers must not delay the exit past the stop bound.
    os._exit(0)


def _signal_once(stopping: eventlet.event.Event) -> None:
    if not stopping.ready():
        stopping.send(None)


def main() -> None:
    """Run the daemon from the command line."""
    app = Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(serve)
    app()


if __name__ == "__main__":
    main()
