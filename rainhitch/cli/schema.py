"""`rainhitch schema`: the JSON Schema of a file that operators write, for editors."""

import argparse
from dataclasses import dataclass
from enum import Enum

from rainhitch.cli.exit_codes import SUCCESS
from rainhitch.cli.output import print_json


class FileKind(Enum):
    """The files that have a schema."""

    OPERATOR = "operator"
    SCENARIO = "scenario"


@dataclass(frozen=True, slots=True)
class SchemaArguments:
    """The arguments of `rainhitch schema`."""

    kind: FileKind


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommand's arguments."""
    parser.description = "Prints the JSON Schema of the operator's file, or of a scenario of the kit."
    parser.add_argument("kind", choices=tuple(kind.value for kind in FileKind))


def parse_arguments(namespace: argparse.Namespace) -> SchemaArguments:
    """Reads the arguments."""
    return SchemaArguments(FileKind(namespace.kind))


def run(namespace: argparse.Namespace) -> int:
    """Prints the schema."""
    from rainhitch import toml_schema

    arguments = parse_arguments(namespace)
    if arguments.kind is FileKind.OPERATOR:
        from rainhitch.operator_config import OperatorConfig

        # The title stays as editors know it.
        schema = toml_schema.schema(OperatorConfig) | {"title": "Operator"}
    else:
        from rainhitch.rehearsal.scenario import Scenario

        schema = toml_schema.schema(Scenario)
    print_json(schema)
    return SUCCESS
