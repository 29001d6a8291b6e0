"""Tests that the documentation matches the code: log lines, metrics, constants, tests and paths."""

import ast
import pathlib
import re

import pytest

from gateway.network.admin.metrics import Metrics

ROOT = pathlib.Path(__file__).parent.parent
RUNBOOK = (ROOT / "docs/runbook.md").read_text()
PAGES = sorted(ROOT.glob("docs/*.md"))
SOURCES = {path: path.read_text() for path in sorted(ROOT.glob("gateway/**/*.py"))}
LOG_METHODS = ("info", "warning", "error")  # methods of `log` that the gateway calls


def log_formats():
    """Yield the format string of each call of a method of `log` in the gateway."""
    for source in SOURCES.values():
        for node in ast.walk(ast.parse(source)):
            is_call = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
            if is_call and node.func.attr in LOG_METHODS and ast.unparse(node.func.value) == "log":
                yield ast.literal_eval(node.args[0])


@pytest.mark.parametrize("log_format", sorted(set(log_formats())))
def test_runbook_lists_each_log_line(log_format):
    assert f"`{re.sub(r'%[.0-9]*[a-z]', '%', log_format)}`" in RUNBOOK


def test_runbook_lists_each_metric():
    text = Metrics(["reading"]).text(open_requests=0, registry_entries=0, out_of_rotation=0).decode()
    names = set(re.findall(r"^# TYPE edge_balancer_(\w+)", text, re.M))
    assert len(names) == 5
    assert all(re.search(rf"^\| `{name}[`{{]", RUNBOOK, re.M) for name in names), names


def test_runbook_lists_each_metric_for_the_analysis_of_faults():
    text = Metrics(["reading"]).diagnostics_text({}).decode()
    names = set(re.findall(r"^# TYPE edge_balancer_(\w+)", text, re.M))
    assert len(names) == 5
    assert all(re.search(rf"^\| `{name}[`{{]", RUNBOOK, re.M) for name in names), names


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_constants_named_on_a_page_exist(page):
    gateway_source = "\n".join(SOURCES.values())
    named = re.findall(r"`(?:\w+\.)*([A-Z][A-Z0-9]*_[A-Z0-9_]+)`", page.read_text())
    missing = {name for name in named if not re.search(rf"\b{name}\b", gateway_source)}
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_tests_named_on_a_page_exist(page):
    tests = ROOT.glob("tests/**/*.py")
    functions = {name for path in tests for name in re.findall(r"def (test_\w+)", path.read_text())}
    named = re.findall(r"`(test_\w+)`", page.read_text())
    assert set(named) <= functions


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_paths_named_on_a_page_exist(page):
    named = re.findall(r"`((?:gateway|tests|docs|deploy|tools)/[\w./]+)`", page.read_text())
    missing = [path for path in named if not (ROOT / path).exists()]
    assert not missing
