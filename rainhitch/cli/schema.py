"""`rainhitch schema`: the JSON Schema of a file that operators write, for editors."""

import argparse


def fill(parser: argparse.ArgumentParser) -> None:
    parser.description = "Prints the JSON Schema of the operator's file, or of a scenario of the kit."
    parser.add_argument("kind", choices=("operator", "scenario"))


def run(told: argparse.Namespace) -> int:
    import orjson

    from rainhitch import toml_schema

    if told.kind == "operator":
        from rainhitch.operator_config import OperatorConfig

        # The title stays as editors know it.
        made = toml_schema.schema(OperatorConfig) | {"title": "Operator"}
    else:
        from rainhitch.rehearsal.scenario import Scenario

        made = toml_schema.schema(Scenario)
    print(orjson.dumps(made, option=orjson.OPT_INDENT_2).decode())
    return 0
