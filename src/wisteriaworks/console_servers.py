"""The pages that edit the servers of one index in the operator's draft."""

import urllib.parse

from wisteriaworks.console_configuration import (
    CHANGED_MESSAGE,
    change_draft,
    is_current,
    list_choices,
    open_draft,
    render_form,
    require_current,
)
from wisteriaworks.console_edits import find_server, put_server, remove_server
from wisteriaworks.console_fields import SERVER
from wisteriaworks.console_forms import (
    NAME_FIELD,
    list_inputs,
    parse_named,
    render_defaults,
    render_part,
)
from wisteriaworks.console_http import PageError, redirect
from wisteriaworks.console_status import paginate

_PATH = "/indexes/servers"


async def show_servers(console, req):
    """Show one page of the servers of an index, by replica set."""
    draft = await open_draft(console, req.session)
    name = req.get_query("index")
    index = _find_index(draft.document, name)
    servers = sorted(index.servers, key=lambda s: (s.replica_set, s.name))
    return console.pages.render(
        req,
        "index.html",
        draft=draft,
        index=name,
        page=paginate(servers, req.get_query("page")),
    )


async def show_form(console, req):
    """Show the form of a new or an existing server."""
    draft = await open_draft(console, req.session)
    index, name = req.get_query("index"), req.get_query(NAME_FIELD)
    _find_index(draft.document, index)
    if _is_new(req):
        fields = render_defaults(SERVER) | {
            "replica_set": (req.get_query("replica_set"),)
        }
        return _render(console, req, index, "", fields, {})
    server = find_server(draft.document, index, name)
    if server is None:
        raise _create_not_found_error(index, name)
    return _render(console, req, index, name, render_part(SERVER, server), {})


async def save(console, req):
    """Put a server into the draft, or show the form again with the errors."""
    index, name = req.get_field("index"), req.get_field(NAME_FIELD).strip()
    if not is_current(req):
        draft = await open_draft(console, req.session)
        _find_index(draft.document, index)
        return _render(console, req, index, name, req.form, {}, CHANGED_MESSAGE)
    document = req.session.draft.document
    names = {server.name for server in _find_index(document, index).servers}
    if not _is_new(req) and name not in names:
        raise _create_not_found_error(index, name)
    existing_names = names if _is_new(req) else ()
    parsed = parse_named(SERVER, req.form, list_choices(document), name, existing_names)
    if parsed.errors:
        return _render(console, req, index, name, req.form, parsed.errors)
    change_draft(req.session, put_server(document, index, parsed.part))
    return redirect(_PATH, index=index)


async def remove(console, req):
    """Remove a server from the draft."""
    index, name = req.get_field("index"), req.get_field(NAME_FIELD)
    require_current(req)
    document = req.session.draft.document
    _find_index(document, index)
    change_draft(req.session, remove_server(document, index, name))
    return redirect(_PATH, index=index)


def _create_not_found_error(index, name):
    return PageError(404, f"There is no server {name!r} in index {index!r}.")


def _find_index(document, name):
    if name not in document.indexes:
        raise PageError(404, f"There is no index {name!r}.")
    return document.indexes[name]


def _render(console, req, index, name, fields, errors, message=""):
    choices = list_choices(req.session.draft.document)
    is_new = _is_new(req)
    hidden = {"index": index} | ({} if is_new else {NAME_FIELD: name})
    return render_form(
        console,
        req,
        list_inputs(SERVER, fields, errors, choices),
        errors,
        message,
        title=f"New server of {index}" if is_new else f"Server {name} of {index}",
        name=name,
        has_name=is_new,
        hidden=hidden,
        back=f"{_PATH}?{urllib.parse.urlencode({'index': index})}",
    )


def _is_new(req):
    return req.path.endswith("/new")
