"""Tests of the repository: sizes, imports, packages and listed files."""

import ast
import pathlib
import re
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


MAX_MODULE_LINES = 600  # that are not blank, of the program
MAX_TEST_MODULE_LINES = 400
MAX_LINE_LENGTH = 110  # characters
PURE_PACKAGES = ("gossip", "interface", "policy", "simulator")


def filled_lines(path):
    return sum(bool(line.strip()) for line in path.read_text().splitlines())


def imported_modules(path):
    """Yield the names of the modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def test_size_limits():
    modules = list(ROOT.glob("gateway/**/*.py"))
    test_modules = list(ROOT.glob("tests/**/*.py"))
    for path in modules:
        assert filled_lines(path) <= MAX_MODULE_LINES, path
    for path in test_modules:
        assert len(path.read_text().splitlines()) <= MAX_TEST_MODULE_LINES, path
    for path in modules + test_modules:
        assert all(len(line) <= MAX_LINE_LENGTH for line in path.read_text().splitlines()), path


def test_every_file_of_the_policy_is_listed_in_the_deploy_file():
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    files = [str(path.relative_to(ROOT)) for path in ROOT.glob("gateway/policy/**/*.py")]
    assert sorted(listed) == sorted(name for name in files if not name.endswith("__init__.py"))


def test_the_decisions_need_the_standard_library_only():
    allowed = {f"gateway.{package}" for package in PURE_PACKAGES} | {"gateway.errors"}
    for package in PURE_PACKAGES:
        for path in ROOT.glob(f"gateway/{package}/**/*.py"):
            names = list(imported_modules(path))
            own = {".".join(name.split(".")[:2]) for name in names if name.startswith("gateway")}
            assert own <= allowed, (path, own)
            roots = {name.partition(".")[0] for name in names}
            assert roots <= {*sys.stdlib_module_names, "gateway"}, (path, roots)


def test_requirements_are_pinned():
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    pins = [line for line in lines if line and not line.startswith("#")]
    assert len(pins) == 2 and all(re.fullmatch(r"[a-z]+==[\d.]+", pin) for pin in pins)


def test_readme_example_runs(capsys):
    readme = (ROOT / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", readme, re.S)
    exec(compile(example, "README.md", "exec"), {})
    assert "send 1 to" in capsys.readouterr().out


def test_all_packages_belong_to_the_distribution():
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    found = [path.parent.relative_to(ROOT) for path in ROOT.glob("gateway/**/__init__.py")]
    assert sorted(listed) == sorted(".".join(path.parts) for path in found)
