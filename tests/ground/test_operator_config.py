"""The operator's file: every invalid key is one line with the key, its value and what is allowed."""

import dataclasses
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from program import ROOT, configuration

from rainhitch.operator_config import OperatorConfig, read_operator_config
from rainhitch.toml_schema import TableError, load, read

EXAMPLE = ROOT / "deploy" / "operator.example.toml"


def write_operator_file(tmp_path: Path, text: str) -> Path:
    """Returns the path of an operator's file with this text."""
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return path


def test_the_example_shows_each_key_with_its_default() -> None:
    tables = load(EXAMPLE)
    assert read_operator_config(EXAMPLE) == OperatorConfig()
    keys_by_table = {name: set(table) for name, table in tables.items()}
    defaults = dataclasses.asdict(OperatorConfig())
    assert keys_by_table == {name: set(table) for name, table in defaults.items()}


def test_an_empty_file_means_all_defaults(tmp_path: Path) -> None:
    assert read_operator_config(write_operator_file(tmp_path, "")) == OperatorConfig()


@pytest.mark.parametrize(
    ("text", "key", "value", "allowed"),
    [
        ("[clients]\nidles = 3", "clients.idles", "3", "no such key; allowed: idle_s"),
        ("[clients]\nidle_s = 'long'", "clients.idle_s", "'long'", "a number from 0.5 to 3600"),
        ("[clients]\nidle_s = true", "clients.idle_s", "True", "a number"),
        ("[servers]\nidle_s = 0", "servers.idle_s", "0", "a number from 0.1 to 3600"),
        ("[servers]\nidle_s = nan", "servers.idle_s", "nan", "a number"),
        ("servers = 3", "servers", "3", "a table"),
        ("[nothing]\na = 1", "nothing", "{'a': 1}", "no such key; allowed: clients, servers"),
    ],
)
def test_a_bad_key_is_one_line(tmp_path: Path, text: str, key: str, value: str, allowed: str) -> None:
    path = write_operator_file(tmp_path, text)
    with pytest.raises(TableError) as raised:
        read_operator_config(path)
    (line,) = raised.value.lines
    assert line.startswith(f"{path}: {key} = {value}: ") and allowed in line


def test_each_bad_key_has_its_line(tmp_path: Path) -> None:
    with pytest.raises(TableError) as raised:
        read_operator_config(write_operator_file(tmp_path, "x = 1\n[clients]\nidle_s = -1\nunread_s = []"))
    assert len(raised.value.lines) == 3


@pytest.mark.parametrize("raw", [b"[clients", b"a = 1\na = 2", b"\xff\xfe"])
def test_text_that_is_not_toml_is_one_line(tmp_path: Path, raw: bytes) -> None:
    path = tmp_path / "operator.toml"
    path.write_bytes(raw)
    with pytest.raises(TableError) as raised:
        read_operator_config(path)
    assert len(raised.value.lines) == 1 and "\n" not in raised.value.lines[0]


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(["clients", "servers", "x"]), VALUES))
def test_any_value_is_accepted_or_reported_in_one_line(source: dict[str, Any]) -> None:
    problems: list[str] = []
    config = read(OperatorConfig, source, "f", problems)
    assert (config is None) == bool(problems)
    assert all("\n" not in line and line.startswith("f: ") for line in problems)


def run_program(env: dict[str, str], *arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs `python -m rainhitch` with this environment."""
    return subprocess.run(
        [sys.executable, "-m", "rainhitch", *arguments],
        env=env,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_the_router_ends_on_a_bad_file_with_a_line_for_each_key(tmp_path: Path) -> None:
    path = write_operator_file(tmp_path, "[clients]\nidle_s = 0\nunread_s = 0")
    result = run_program({**configuration(tmp_path), "RAINHITCH_OPERATOR": str(path)})
    lines = result.stderr.splitlines()
    assert result.returncode == 2 and len(lines) == 2
    assert all(line.startswith(f"rainhitch: {path}: clients.") for line in lines)


def test_the_router_ends_on_a_file_that_is_named_and_not_there(tmp_path: Path) -> None:
    result = run_program({**configuration(tmp_path), "RAINHITCH_OPERATOR": str(tmp_path / "none.toml")})
    assert result.returncode == 2 and result.stderr.count("\n") == 1 and "No such file" in result.stderr


def test_the_command_line_prints_its_version_and_its_commands() -> None:
    assert run_program(dict(os.environ), "--version").stdout == "rainhitch 0.2.0\n"
    result = run_program(dict(os.environ), "--help")
    assert result.returncode == 0 and "rehearse" in result.stdout
    unknown = run_program(dict(os.environ), "dance")
    assert unknown.returncode == 2 and "dance" in unknown.stderr


def test_a_router_imports_nothing_of_the_kit_the_command_line_or_the_operators_file() -> None:
    code = "import sys, rainhitch.__main__, rainhitch.node.router; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    loaded = set(result.stdout.split())
    assert "rainhitch.node.request_driver" in loaded, result.stderr
    kit = ("rainhitch.cli", "rainhitch.rehearsal", "rainhitch.operator_config", "rainhitch.toml_schema")
    assert not [name for name in loaded if name.startswith((*kit, "tomllib", "rich", "argparse"))]


@pytest.mark.parametrize(("kind", "key"), [("operator", "clients"), ("scenario", "faults")])
def test_editors_get_a_schema_with_each_key_and_what_it_is_for(kind: str, key: str) -> None:
    schema = json.loads(run_program(dict(os.environ), "schema", kind).stdout)
    assert key in schema["properties"] and schema["additionalProperties"] is False
    keys = [key_schema for table in schema["$defs"].values() for key_schema in table["properties"].values()]
    assert len(keys) > 20 and all(key_schema.get("description") for key_schema in keys)
