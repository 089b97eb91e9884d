"""Propose configuration changes, each applied once even if its form is sent twice."""

import uuid_utils

from wisteriaworks.console_http import PageError, parse_number
from wisteriaworks.errors import ControlError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.messages import ProposeResult
from wisteriaworks.uuid7 import parse_uuid7

# Accepted versions that a session stores, enough for the forms that are still open
# in a browser. Control stores the results of older proposals.
MAX_ACCEPTED = 20
# Proposals that a session stores. Each contains an entire document, which has
# 24,000 servers at the design size.
MAX_PROPOSALS = 3


async def propose(console, session, message):
    """Propose a change, store the version if accepted, and return the reply.

    Raises ControlError if the leader did not answer in time and PageError if
    control rejected the document as invalid. The reply to a conflict is returned.
    """
    # The message is stored before the call, so that a form that is sent again
    # sends the same document: control refuses another document under the same
    # operation id.
    _store_bounded(session.proposals, message.operation_id, message, MAX_PROPOSALS)
    try:
        reply = await console.control.propose(message)
    except ControlError:
        _log_proposal(session, message, "unknown", None)
        raise
    _log_proposal(session, message, reply.result.value, reply.version)
    if reply.result is ProposeResult.INVALID:
        raise PageError(422, f"Control refused the change: {'; '.join(reply.problems)}")
    if reply.result is ProposeResult.ACCEPTED:
        session.proposals.pop(message.operation_id, None)
        _store_bounded(
            session.accepted, message.operation_id, reply.version, MAX_ACCEPTED
        )
    return reply


def create_operation_id():
    """Return a new operation id for a form."""
    return str(uuid_utils.uuid7())


def read_operation_id(req):
    """Return the operation id in a form. Raises PageError."""
    operation_id = req.get_field("operation_id")
    if parse_uuid7(operation_id) is None:
        raise PageError(400, "The form has no valid operation id; expected a UUIDv7.")
    return operation_id


def read_version(req):
    """Return the version that a form was rendered from. Raises PageError."""
    return parse_number(req.get_field("version"))


def _store_bounded(table, key, value, limit):
    table[key] = value
    while len(table) > limit:
        del table[next(iter(table))]


def _log_proposal(session, message, result, version):
    log_event(
        Event.CONFIGURATION_PROPOSED,
        operator=session.operator,
        operation=message.operation_id,
        expected_version=message.expected_version,
        result=result,
        version=version,
    )
