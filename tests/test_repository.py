"""Tests of the repository: sizes, imports, packages and listed files."""

import ast
import pathlib
import re
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent


def filled_lines(path):
    return sum(bool(line.strip()) for line in path.read_text().splitlines())


def test_size_limits():
    for path in ROOT.glob("gateway/**/*.py"):
        assert filled_lines(path) <= 600, path
    for path in [*ROOT.glob("gateway/**/*.py"), *ROOT.glob("tests/**/*.py")]:
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def test_every_file_of_the_policy_is_listed_in_the_deploy_file():
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    files = [str(path.relative_to(ROOT)) for path in ROOT.glob("gateway/policy/**/*.py")]
    assert sorted(listed) == sorted(name for name in files if not name.endswith("__init__.py"))


PURE = ("gossip", "interface", "policy", "simulator")


def test_the_decisions_need_the_standard_library_only():
    for package in PURE:
        for path in ROOT.glob(f"gateway/{package}/**/*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
                names += [node.module] if isinstance(node, ast.ImportFrom) and node.module else []
                own = {".".join(name.split(".")[:2]) for name in names if name.startswith("gateway")}
                assert own <= {f"gateway.{pure}" for pure in PURE} | {"gateway.errors"}, (path, own)
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
