"""The pages that drain a failure domain and return it to service."""

from wisteriaworks.configuration import check_document, set_domain_state
from wisteriaworks.console_configuration import open_draft
from wisteriaworks.console_http import PageError, redirect
from wisteriaworks.console_proposals import (
    create_operation_id,
    propose,
    read_operation_id,
    read_version,
)
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.document import DomainState
from wisteriaworks.generated.messages import ProposeConfiguration, ProposeResult

DRAIN = "/domains/drain"
RETURN = "/domains/return"
_STATES = {DRAIN: DomainState.OUT, RETURN: DomainState.IN_SERVICE}
_CONFLICT_MESSAGE = (
    "Another operator changed the configuration since this page was opened. "
    "Nothing was changed here; check the page and confirm again."
)


async def show_domains(console, req):
    """Show the failure domains in force, each with a drain or return button."""
    reply = await console.control.read_configuration()
    domains = reply.document.domains if reply.document else {}
    draft = await open_draft(console, req.session)
    return console.pages.render(
        req,
        "domains.html",
        version=reply.version,
        domains=sorted(domains.items()),
        draft=draft,
    )


async def show_confirmation(console, req):
    """Show the confirmation page of a change of a domain's state."""
    reply = await console.control.read_configuration()
    return _render_confirmation(console, req, reply, req.get_query("name"))


async def change_domain_state(console, req):
    """Propose a domain's new state; show the confirmation again after a conflict."""
    name, operation_id = req.get_field("name"), read_operation_id(req)
    if operation_id in req.session.accepted:
        return redirect("/rollout", version=req.session.accepted[operation_id])
    message = req.session.proposals.get(operation_id)
    if message is None:
        base = await console.control.read_configuration()
        document = _set_state(base, name, _STATES[req.path])
        message = ProposeConfiguration(operation_id, read_version(req), document)
    reply = await propose(console, req.session, message)
    if reply.result is ProposeResult.CONFLICT:
        return _render_confirmation(console, req, reply, name, _CONFLICT_MESSAGE)
    log_event(
        Event.DOMAIN_MOVED,
        operator=req.session.operator,
        domain=name,
        state=_STATES[req.path].value,
        version=reply.version,
    )
    return redirect("/rollout", version=reply.version)


def _render_confirmation(console, req, reply, name, message=""):
    state = _STATES[req.path]
    document = _set_state(reply, name, state)
    known = set(check_document(reply.document))
    return console.pages.render(
        req,
        "domain_confirm.html",
        status=409 if message else 200,
        name=name,
        is_drain=state is DomainState.OUT,
        is_done=reply.document.domains[name].state is state,
        version=reply.version,
        operation_id=create_operation_id(),
        warnings=[p for p in check_document(document) if p not in known],
        servers=_count_servers(document, name),
        message=message,
    )


def _set_state(reply, name, state):
    if reply.document is None or name not in reply.document.domains:
        raise PageError(404, f"There is no failure domain {name!r}.")
    return set_domain_state(reply.document, name, state)


def _count_servers(document, name):
    servers = (s for index in document.indexes.values() for s in index.servers)
    return sum(server.domain == name for server in servers)
