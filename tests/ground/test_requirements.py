"""The versions pinned in `pyproject.toml` and in the requirements files must be the same.

When they differed, a new machine could not install the development requirements, while existing environments
kept working.
"""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def pinned(name: str) -> dict[str, str]:
    """Returns the pinned version of each package in a requirements file."""
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
    requirements = [*project["dependencies"], *(requirement for extra in extras for requirement in extra)]
    versions = pinned("requirements.txt") | pinned("requirements-dev.txt")
    assert requirements
    for requirement in requirements:
        package = requirement.split("==")[0]
        assert requirement == f"{package}=={versions[package]}"
