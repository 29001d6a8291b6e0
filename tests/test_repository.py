"""Tests of the repository: sizes of modules, imports, requirements, and lists of files and packages."""

import ast
import pathlib
import re
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent

MAX_MODULE_LINES = 600  # maximum number of lines of a gateway module, without blank lines
MAX_TEST_MODULE_LINES = 400  # maximum number of lines of a test module, with blank lines
MAX_LINE_LENGTH = 110  # maximum length of a line, in characters
# Packages of the gateway that import only each other, gateway.errors and the standard library.
PURE_PACKAGES = ("gossip", "interface", "policy", "simulator")


def count_filled_lines(path):
    """Return the number of lines of a file that are not blank."""
    return sum(bool(line.strip()) for line in path.read_text().splitlines())


def imported_modules(path):
    """Yield the full names of the modules that a Python file imports, also within functions."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def test_modules_and_lines_are_within_their_size_limits():
    modules = list(ROOT.glob("gateway/**/*.py"))
    test_modules = list(ROOT.glob("tests/**/*.py"))
    for path in modules:
        assert count_filled_lines(path) <= MAX_MODULE_LINES, path
    for path in test_modules:
        assert len(path.read_text().splitlines()) <= MAX_TEST_MODULE_LINES, path
    for path in modules + test_modules:
        assert all(len(line) <= MAX_LINE_LENGTH for line in path.read_text().splitlines()), path


def test_deploy_file_lists_every_policy_module():
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    files = [str(path.relative_to(ROOT)) for path in ROOT.glob("gateway/policy/**/*.py")]
    assert sorted(listed) == sorted(name for name in files if not name.endswith("__init__.py"))


def test_pure_packages_import_only_each_other_and_the_standard_library():
    allowed = {f"gateway.{package}" for package in PURE_PACKAGES} | {"gateway.errors"}
    for package in PURE_PACKAGES:
        for path in ROOT.glob(f"gateway/{package}/**/*.py"):
            names = list(imported_modules(path))
            gateway_packages = {".".join(name.split(".")[:2]) for name in names if name.startswith("gateway")}
            assert gateway_packages <= allowed, (path, gateway_packages)
            top_level_names = {name.partition(".")[0] for name in names}
            assert top_level_names <= {*sys.stdlib_module_names, "gateway"}, (path, top_level_names)


def test_requirements_are_pinned_to_exact_versions():
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    pins = [line for line in lines if line and not line.startswith("#")]
    assert len(pins) == 2 and all(re.fullmatch(r"[a-z]+==[\d.]+", pin) for pin in pins)


def test_readme_example_runs(capsys):
    readme = (ROOT / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", readme, re.S)
    exec(compile(example, "README.md", "exec"), {})
    assert "send 1 to" in capsys.readouterr().out


def test_distribution_lists_every_gateway_package():
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    found = [path.parent.relative_to(ROOT) for path in ROOT.glob("gateway/**/__init__.py")]
    assert sorted(listed) == sorted(".".join(path.parts) for path in found)
