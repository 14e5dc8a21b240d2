"""The commands for organisations."""

from typing import Annotated

from typer import Argument, BadParameter, Context, Option, Typer

from hornbeamfold.cli.configuration import (
    change_hints,
    emit_change,
    find_by_name,
    read_configuration,
)
from hornbeamfold.cli.output import emit, format_examples, format_shape, format_table
from hornbeamfold.cli.session import change, get_session
from hornbeamfold.model.topology import Organisation, Shape, Span
from hornbeamfold.rpc import client

SHAPE_EXAMPLE = "accelerators=8,processors=16,memory_gb=64,span=rack"
HINTS = change_hints("hornbeamfold organisation list")

organisation_app = Typer(no_args_is_help=True, help="Organisations and their guarantees.")

NameArgument = Annotated[str, Argument(help="Name of the organisation.", show_default=False)]
VersionOption = Annotated[
    int | None,
    Option(min=0, help="Expected current version; by default, the version is read first."),
]


def parse_shape(text: str) -> Shape:
    """Parse a shape of the form "accelerators=8,processors=16,memory_gb=64,span=rack"."""
    values: dict[str, int] = {}
    span = Span.RACK
    for part in text.split(","):
        key, _, value = part.strip().partition("=")
        if key == "span" and value.upper() in Span.__members__:
            span = Span[value.upper()]
        elif key in ("accelerators", "processors", "memory_gb") and value.isdecimal():
            values[key] = int(value)
        else:
            raise BadParameter(f"{part!r} is not valid; a shape looks like {SHAPE_EXAMPLE}")
    if "accelerators" not in values:
        raise BadParameter(f"accelerators is missing; a shape looks like {SHAPE_EXAMPLE}")
    return Shape(**values, span=span)


@organisation_app.command(
    "put",
    epilog=format_examples(
        "hornbeamfold organisation put highwater --weight 2 \\",
        f"    --guarantee {SHAPE_EXAMPLE} --guarantee accelerators=4",
        "hornbeamfold organisation put rampes --no-guarantee",
    ),
)
def put(
    ctx: Context,
    name: NameArgument,
    guarantee: Annotated[
        list[str] | None,
        Option(help=f"Guaranteed shape, for example {SHAPE_EXAMPLE}; can be repeated."),
    ] = None,
    no_guarantee: Annotated[bool, Option("--no-guarantee", help="Remove all guarantees.")] = False,
    weight: Annotated[
        float | None, Option(help="Share relative to other organisations, greater than 0.")
    ] = None,
    version: VersionOption = None,
) -> None:
    """Create or update an organisation; omitted options keep their current values.

    With --version, the current values are not read, so omitted options get their defaults.
    """
    session = get_session(ctx)
    shapes = tuple(parse_shape(text) for text in guarantee or ())
    if shapes and no_guarantee:
        raise BadParameter("--guarantee and --no-guarantee are mutually exclusive")
    if weight is not None and not 0 < weight <= 1_000_000:
        raise BadParameter("--weight must be greater than 0 and at most 1000000")
    previous = Organisation(name, version=version or 0)
    if version is None:
        organisations = read_configuration(session).organisations
        previous = next(
            (organisation for organisation in organisations if organisation.name == name), previous
        )
    requested = Organisation(
        name,
        shapes if shapes or no_guarantee else previous.guarantee,
        weight if weight is not None else previous.weight,
        previous.version,
    )
    accepted = change(
        session,
        lambda address, timeout_ms: client.put_organisation(address, requested, timeout_ms),
        HINTS,
    )
    emit_change(session, accepted, f"Organisation {name} is in force")


@organisation_app.command(
    "remove", epilog=format_examples("hornbeamfold organisation remove highwater")
)
def remove(ctx: Context, name: NameArgument, version: VersionOption = None) -> None:
    """Remove an organisation that has no active work."""
    session = get_session(ctx)
    if version is None:
        organisations = read_configuration(session).organisations
        expected = find_by_name(session, "organisation", name, organisations).version
    else:
        expected = version
    accepted = change(
        session,
        lambda address, timeout_ms: client.remove_organisation(address, name, expected, timeout_ms),
        HINTS,
    )
    emit_change(session, accepted, f"Organisation {name} is removed")


@organisation_app.command("list", epilog=format_examples("hornbeamfold organisation list"))
def list_organisations(ctx: Context) -> None:
    """List the organisations and their guarantees."""
    session = get_session(ctx)
    organisations = read_configuration(session).organisations
    rows: list[tuple[object, ...]] = []
    for organisation in organisations:
        shapes = " ".join(format_shape(shape) for shape in organisation.guarantee)
        rows.append((organisation.name, organisation.weight, organisation.version, shapes or "-"))
    emit(session, organisations, format_table(("name", "weight", "version", "guarantee"), rows))
