"""The pinned versions of `pyproject.toml` are those of the requirements files.

Once they differed, a new machine refused the development requirements, while environments that already stood
went on working.
"""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def pinned(name: str) -> dict[str, str]:
    """Package to version, of a requirements file."""
    lines = (ROOT / name).read_text().splitlines()
    versions = {}
    for line in lines:
        package, pin, version = line.partition("==")
        if pin:
            versions[package] = version
    return versions


def test_every_version_of_the_project_file_is_the_one_of_the_requirements() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    extras = project["optional-dependencies"].values()
    wanted = [*project["dependencies"], *(one for extra in extras for one in extra)]
    versions = pinned("requirements.txt") | pinned("requirements-dev.txt")
    assert wanted
    for requirement in wanted:
        package = requirement.split("==")[0]
        assert requirement == f"{package}=={versions[package]}"
