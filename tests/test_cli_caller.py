"""Guard against a hash that no entry would accept."""

import io

import pytest

from wisteriaworks.cli import run

# sha256 of "secret", computed with sha256sum.
_HASH = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"


@pytest.mark.parametrize("word", ["secret", "-"])
def test_hash_of_argument_and_standard_input(word, monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO("secret\n"))
    assert run(["caller", "hash", word]) == 0
    assert capsys.readouterr().out.strip() == _HASH


@pytest.mark.parametrize("word", ["", "two words", "new\nline"])
def test_credentials_that_no_header_can_carry_are_refused(word):
    assert run(["caller", "hash", word]) == 2
