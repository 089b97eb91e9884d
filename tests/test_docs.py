"""Guard against documented commands, error kinds and links that do not exist."""

import re
import shlex
from pathlib import Path

import pytest
from cleo.io.inputs.argv_input import ArgvInput

from wisteriaworks import errors
from wisteriaworks.cli import create_application

ROOT = Path(__file__).resolve().parent.parent
PAGES = [*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")]
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()


def _list_commands(path):
    blocks = re.findall(r"```sh\n(.*?)```", path.read_text(), re.S)
    lines = [line.strip() for block in blocks for line in block.splitlines()]
    return [
        re.split(r" [>#]", line.removeprefix(".venv/bin/"))[0]
        for line in lines
        if line.removeprefix(".venv/bin/").startswith("wisteria ")
    ]


def _read_rows(title):
    section = OPERATIONS.split(f"## {title}\n")[1].split("\n## ")[0]
    rows = [line.strip("| ").split(" | ") for line in section.splitlines()]
    return [row for row in rows if len(row) > 1][1:]


COMMANDS = sorted({line for page in PAGES for line in _list_commands(page)})


@pytest.mark.parametrize("line", COMMANDS)
def test_documented_commands_parse(line):
    words = shlex.split(line)[1:]
    app = create_application()
    if words == ["--help"]:
        return
    name = next(n for n in (" ".join(words[:2]), words[0]) if app.has(n))
    command = app.find(name)
    command.merge_application_definition()
    rest = words[len(name.split()) :]
    parsed = ArgvInput(["wisteria", name, *rest], command.definition)
    parsed.validate()


def test_every_command_is_documented():
    shown = [" ".join(shlex.split(line)[1:3]) for line in COMMANDS]
    names = [n for m in create_application().all().values() if (n := m.name)]
    for name in set(names) - {"help", "list", "completions"}:
        assert any(text.startswith(name) for text in shown), name


def test_documented_errors_match_the_program():
    expected = [
        [
            kind.value,
            str(response.http_status),
            response.run_state.value,
            "yes" if response.retry_safe else "no",
        ]
        for kind, response in errors.ERROR_RESPONSES.items()
    ]
    assert [row[:4] for row in _read_rows("What each refusal means")] == expected


def test_exit_codes_are_listed():
    codes = {
        value.exit_code
        for value in vars(errors).values()
        if isinstance(value, type) and issubclass(value, errors.WisteriaError)
    }
    assert codes <= {int(row[0]) for row in _read_rows("Exit codes")}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_resolve(page):
    for target in re.findall(r"\]\(([^)#]+)[^)]*\)", page.read_text()):
        assert (page.parent / target).exists(), target
