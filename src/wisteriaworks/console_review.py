"""The pages that review, apply, rebase and discard the operator's draft."""

from wisteriaworks.configuration import check_document, list_errors
from wisteriaworks.console_drafts import rebase_draft
from wisteriaworks.console_http import PageError, redirect
from wisteriaworks.console_proposals import (
    create_operation_id,
    propose,
    read_operation_id,
    read_version,
)
from wisteriaworks.generated.messages import ProposeConfiguration, ProposeResult

REVIEW = "/review"
_STALE = "The draft has changed or no longer exists. Open the review page again."


async def show_review(console, req):
    """Show the draft's changes and problems, or both sides of a conflict."""
    draft = req.session.draft
    if draft is None or not draft.has_changes():
        return console.pages.render(req, "review_empty.html")
    reply = await console.control.read_configuration()
    if reply.version != draft.version:
        return _render_conflict(console, req, draft, reply)
    return _render_review(console, req, draft)


async def apply_draft(console, req):
    """Propose the reviewed draft and show its rollout."""
    session, operation_id = req.session, read_operation_id(req)
    # A form that is sent again gets the response of its first submission, even if
    # the draft has changed since.
    if operation_id in session.accepted:
        return redirect("/rollout", version=session.accepted[operation_id])
    message = session.proposals.get(operation_id)
    if message is None:
        draft = _read_reviewed(req)
        if list_errors(check_document(draft.document)):
            return _render_review(console, req, draft, status=422)
        message = ProposeConfiguration(operation_id, draft.version, draft.document)
    reply = await propose(console, session, message)
    if reply.result is ProposeResult.CONFLICT:
        return _render_conflict(console, req, _require_draft(req), reply, status=409)
    if session.draft is not None and session.draft.document == message.document:
        session.draft = None
    return redirect("/rollout", version=reply.version)


async def rebase(console, req):
    """Rebase the draft onto the version that the operator was shown."""
    draft = _require_draft(req)
    reply = await console.control.read_configuration()
    if reply.version != read_version(req):
        return _render_conflict(console, req, draft, reply, status=409)
    if req.session.draft == draft:
        result = rebase_draft(draft, reply.version, reply.document)
        req.session.draft = result.draft
    return redirect(REVIEW)


async def discard(console, req):
    """Discard the draft."""
    req.session.draft = None
    return redirect(REVIEW)


def _require_draft(req):
    if req.session.draft is None:
        raise PageError(409, _STALE)
    return req.session.draft


def _read_reviewed(req):
    """Return the draft if the form was rendered from it. Raises PageError."""
    draft = _require_draft(req)
    reviewed = (read_version(req), req.get_field("digest"))
    if reviewed != (draft.version, draft.compute_digest()):
        raise PageError(409, _STALE)
    return draft


def _render_review(console, req, draft, status=200):
    problems = check_document(draft.document)
    return console.pages.render(
        req,
        "review.html",
        status,
        draft=draft,
        changes=draft.list_changes(),
        problems=problems,
        has_errors=bool(list_errors(problems)),
        operation_id=create_operation_id(),
        digest=draft.compute_digest(),
    )


def _render_conflict(console, req, draft, reply, status=200):
    result = rebase_draft(draft, reply.version, reply.document)
    return console.pages.render(
        req, "conflict.html", status, draft=draft, reply=reply, result=result
    )
