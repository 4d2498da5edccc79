"""Tests that the generated reference pages match the code and list every setting and code."""

import re
from dataclasses import fields
from pathlib import Path

import pytest

from mimosapost.commands.entry import main
from mimosapost.commands.reference import format_pages
from mimosapost.model.codes import MissingReason, ResultCode
from mimosapost.model.published_settings import FleetTree, ServiceSettings, TeamTree
from mimosapost.settings.local import LocalSettings

DOCS = Path(__file__).parents[3] / "docs"


def test_committed_pages_are_current(capsys):
    assert main(["reference", "--check", "--docs", str(DOCS)]) == 0
    assert capsys.readouterr().out == ""


@pytest.mark.parametrize("name", format_pages())
def test_changed_or_missing_page_is_reported(name, tmp_path, capsys):
    assert main(["reference", "--docs", str(tmp_path)]) == 0
    assert main(["reference", "--check", "--docs", str(tmp_path)]) == 0
    page = tmp_path / name
    page.write_text(page.read_text().replace("1", "2", 1))
    capsys.readouterr()
    assert main(["reference", "--check", "--docs", str(tmp_path)]) == 1
    assert f"{page} differs" in capsys.readouterr().out
    page.unlink()
    assert main(["reference", "--check", "--docs", str(tmp_path)]) == 1
    assert not page.exists()


def test_pages_list_every_setting_with_description():
    page = format_pages()["settings.md"]
    for settings_class in (LocalSettings, FleetTree, TeamTree, ServiceSettings):
        for field in fields(settings_class):
            assert f"| `{field.name}` |" in page
    assert not re.search(r"\| +\|$", page, re.MULTILINE)


def test_pages_list_every_code():
    page = format_pages()["result-codes.md"]
    for code in (*ResultCode, *MissingReason):
        assert f"| {code.value} | `{code.name}` |" in page
