"""Guard against configurations that revert, and operator commands that are lost."""

import itertools

import pytest

from wisteriaworks.generated.commands import RaiseConfiguration, SetDomain
from wisteriaworks.generated.document import Document, Limits
from wisteriaworks.state_machine import StateMachine, encode_command


def raise_configuration(machine, index, version, marker=None):
    """Apply a configuration that the marker identifies."""
    document = Document(limits=Limits(max_running=marker or version))
    source = str(marker or version).encode()
    command = RaiseConfiguration(version, document, source)
    return machine.apply(index, encode_command(command, 0))


@pytest.mark.parametrize("order", list(itertools.permutations((3, 5, 9))))
def test_highest_version_is_in_force_in_any_order(order):
    """A change that arrives late or twice must not revert a higher version."""
    machine, highest = StateMachine(), 0
    for index, version in enumerate((*order, *order), start=1):
        highest = max(highest, version)
        assert raise_configuration(machine, index, version) == highest
        assert machine.document.limits.max_running == highest
        assert machine.source == str(highest).encode()


def test_other_content_for_the_current_version_changes_nothing():
    machine = StateMachine()
    raise_configuration(machine, 1, 5, marker=50)
    assert raise_configuration(machine, 2, 5, marker=51) == 5
    assert machine.source == b"50"


def test_snapshot_keeps_the_text_and_the_domains():
    machine = StateMachine()
    raise_configuration(machine, 1, 5)
    machine.apply(2, encode_command(SetDomain("a", True), 0))
    restored = StateMachine()
    restored.restore_snapshot(machine.encode_snapshot())
    assert (restored.version, restored.source) == (5, b"5")
    assert restored.domains_out == {"a"}


def test_domain_command_may_be_repeated_and_reverted():
    machine = StateMachine()
    commands = [("a", True), ("a", True), ("b", True), ("a", False), ("a", False)]
    for index, (domain, out) in enumerate(commands, start=1):
        machine.apply(index, encode_command(SetDomain(domain, out), 0))
    assert machine.domains_out == {"b"}
