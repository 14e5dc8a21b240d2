"""The commands for organisations."""

from typing import Annotated

from typer import Argument, BadParameter, Context, Option, Typer

from hornbeamfold.cli.configuration import change_hints, current, emit_change, find
from hornbeamfold.cli.output import describe_shape, emit, examples, table
from hornbeamfold.cli.session import change, session_of
from hornbeamfold.model.topology import Organisation, Shape, Span
from hornbeamfold.rpc import client

SHAPE_FORM = "accelerators=8,processors=16,memory_gb=64,span=rack"
HINTS = change_hints("hornbeamfold organisation list")

organisation_app = Typer(no_args_is_help=True, help="Organisations and their guarantees.")

Name = Annotated[str, Argument(help="The organisation.", show_default=False)]
Version = Annotated[
    int | None,
    Option(min=0, help="The version that was decided on; read first if left out."),
]


def parse_shape(text: str) -> Shape:
    """Read a shape of the form "accelerators=8,processors=16,memory_gb=64,span=rack"."""
    values: dict[str, int] = {}
    span = Span.RACK
    for part in text.split(","):
        key, _, value = part.strip().partition("=")
        if key == "span" and value.upper() in Span.__members__:
            span = Span[value.upper()]
        elif key in ("accelerators", "processors", "memory_gb") and value.isdecimal():
            values[key] = int(value)
        else:
            raise BadParameter(f"{part!r} is not understood; a shape looks like {SHAPE_FORM}")
    if "accelerators" not in values:
        raise BadParameter(f"accelerators is missing; a shape looks like {SHAPE_FORM}")
    return Shape(**values, span=span)


@organisation_app.command(
    "put",
    epilog=examples(
        "hornbeamfold organisation put highwater --weight 2 \\",
        f"    --guarantee {SHAPE_FORM} --guarantee accelerators=4",
        "hornbeamfold organisation put rampes --no-guarantee",
    ),
)
def put(
    ctx: Context,
    name: Name,
    guarantee: Annotated[
        list[str] | None,
        Option(help=f"A guaranteed shape such as {SHAPE_FORM}; repeat it for more."),
    ] = None,
    no_guarantee: Annotated[bool, Option("--no-guarantee", help="Guarantee nothing.")] = False,
    weight: Annotated[float | None, Option(help="Its share, more than 0.")] = None,
    version: Version = None,
) -> None:
    """Create an organisation or change it; what is left out stays as it is.

    With --version nothing is read first, so that what is left out gets its default.
    """
    session = session_of(ctx)
    shapes = tuple(parse_shape(text) for text in guarantee or ())
    if shapes and no_guarantee:
        raise BadParameter("--guarantee and --no-guarantee exclude each other")
    if weight is not None and not 0 < weight <= 1_000_000:
        raise BadParameter("--weight must be more than 0 and at most 1000000")
    before = Organisation(name, version=version or 0)
    if version is None:
        organisations = current(session).organisations
        before = next((one for one in organisations if one.name == name), before)
    wanted = Organisation(
        name,
        shapes if shapes or no_guarantee else before.guarantee,
        weight if weight is not None else before.weight,
        before.version,
    )
    done = change(
        session,
        lambda address, timeout_ms: client.put_organisation(address, wanted, timeout_ms),
        HINTS,
    )
    emit_change(session, done, f"Organisation {name} is in force")


@organisation_app.command("remove", epilog=examples("hornbeamfold organisation remove highwater"))
def remove(ctx: Context, name: Name, version: Version = None) -> None:
    """Remove an organisation that has no active work."""
    session = session_of(ctx)
    if version is None:
        organisations = current(session).organisations
        expected = find(session, "organisation", name, organisations).version
    else:
        expected = version
    done = change(
        session,
        lambda address, timeout_ms: client.remove_organisation(address, name, expected, timeout_ms),
        HINTS,
    )
    emit_change(session, done, f"Organisation {name} is removed")


@organisation_app.command("list", epilog=examples("hornbeamfold organisation list"))
def list_organisations(ctx: Context) -> None:
    """List the organisations with what they are guaranteed."""
    session = session_of(ctx)
    organisations = current(session).organisations
    rows: list[tuple[object, ...]] = []
    for one in organisations:
        shapes = " ".join(describe_shape(shape) for shape in one.guarantee)
        rows.append((one.name, one.weight, one.version, shapes or "-"))
    emit(session, organisations, table(("name", "weight", "version", "guarantee"), rows))
