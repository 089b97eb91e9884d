"""The pages that edit the named parts and the limits of the operator's draft."""

import dataclasses

import msgspec

from wisteriaworks.console_drafts import start_draft
from wisteriaworks.console_edits import put_part, remove_part
from wisteriaworks.console_fields import LIMITS
from wisteriaworks.console_forms import (
    NAME_FIELD,
    ParsedPart,
    check_name,
    list_inputs,
    parse_named,
    parse_part,
    render_defaults,
    render_part,
)
from wisteriaworks.console_groups import GROUPS
from wisteriaworks.console_http import PageError, redirect
from wisteriaworks.console_proposals import read_version

CHANGED_MESSAGE = (
    "The configuration has changed since this form was opened. Nothing was saved; "
    "compare with the values in force and save again."
)


def list_routes(group):
    """Return the handlers of a group, by method and path."""
    path = f"/{group.name}"
    routes = {
        ("GET", f"{path}/new"): show_form,
        ("POST", f"{path}/new"): save,
        ("POST", f"{path}/remove"): remove,
    }
    if group.empty_part is not None:
        # Parts whose form has only a name need no edit form; other pages list them.
        return routes
    return routes | {
        ("GET", path): show_list,
        ("GET", f"{path}/edit"): show_form,
        ("POST", f"{path}/edit"): save,
    }


async def open_draft(console, session):
    """Return the draft, or a new one from the version in force if it has no changes."""
    if session.draft is not None and session.draft.has_changes():
        return session.draft
    reply = await console.control.read_configuration()
    # Another request of this session may have changed the draft during the call.
    if session.draft is None or not session.draft.has_changes():
        session.draft = start_draft(reply.version, reply.document)
    return session.draft


def is_current(req):
    """Return whether a form was rendered from the version of the draft."""
    draft = req.session.draft
    return draft is not None and draft.version == read_version(req)


def change_draft(session, document):
    """Replace the content of the operator's draft."""
    session.draft = dataclasses.replace(session.draft, document=document)


def list_choices(document):
    """Return the names that form fields can select, by group."""
    groups = ("searches", "indexes", "callers", "domains")
    return {group: tuple(getattr(document, group)) for group in groups}


async def show_list(console, req):
    """Show the parts of one group in the draft."""
    group = _find_group(req)
    draft = await open_draft(console, req.session)
    return console.pages.render(
        req,
        "group.html",
        group=group,
        draft=draft,
        rows=_list_rows(group, draft.document),
    )


async def show_indexes(console, req):
    """Show the indexes of the draft with their sizes."""
    draft = await open_draft(console, req.session)
    rows = [
        (name, len({s.replica_set for s in index.servers}), len(index.servers))
        for name, index in draft.document.indexes.items()
    ]
    return console.pages.render(req, "indexes.html", draft=draft, rows=rows)


async def show_form(console, req):
    """Show the form of a new or an existing part."""
    group = _find_group(req)
    draft = await open_draft(console, req.session)
    name = req.get_query(NAME_FIELD)
    if _is_new(req):
        return _render_form(console, req, group, "", render_defaults(group.form), {})
    part = getattr(draft.document, group.name).get(name)
    if part is None:
        raise PageError(404, f"There is no {group.noun} {name!r}.")
    return _render_form(console, req, group, name, render_part(group.form, part), {})


async def save(console, req):
    """Put a part into the draft, or show the form again with the errors."""
    group, name = _find_group(req), req.get_field(NAME_FIELD).strip()
    if not is_current(req):
        await open_draft(console, req.session)
        return _render_form(console, req, group, name, req.form, {}, CHANGED_MESSAGE)
    document = req.session.draft.document
    parts = getattr(document, group.name)
    if not _is_new(req) and name not in parts:
        raise PageError(404, f"There is no {group.noun} {name!r}.")
    existing_names = parts if _is_new(req) else ()
    parsed = _parse(group, req.form, document, name, existing_names)
    if parsed.errors:
        return _render_form(console, req, group, name, req.form, parsed.errors)
    change_draft(req.session, put_part(document, group.name, name, parsed.part))
    if group.name == "indexes":
        return redirect("/indexes/servers", index=name)
    return redirect(f"/{group.name}")


async def remove(console, req):
    """Remove a part from the draft."""
    group, name = _find_group(req), req.get_field(NAME_FIELD)
    require_current(req)
    document = remove_part(req.session.draft.document, group.name, name)
    change_draft(req.session, document)
    return redirect(f"/{group.name}")


async def show_limits(console, req):
    """Show the form of the limits."""
    draft = await open_draft(console, req.session)
    fields = render_part(LIMITS, draft.document.limits)
    return _render_limits(console, req, fields, {})


async def save_limits(console, req):
    """Put the limits into the draft, or show the form again with the errors."""
    if not is_current(req):
        await open_draft(console, req.session)
        return _render_limits(console, req, req.form, {}, CHANGED_MESSAGE)
    parsed = parse_part(LIMITS, req.form, {})
    if parsed.errors:
        return _render_limits(console, req, req.form, parsed.errors)
    document = req.session.draft.document
    changed = msgspec.structs.replace(document, limits=parsed.part)
    change_draft(req.session, changed)
    return redirect("/review")


def require_current(req):
    """Raise PageError if a form was rendered from another version."""
    if not is_current(req):
        raise PageError(409, CHANGED_MESSAGE)


def _parse(group, form, document, name, existing_names):
    if group.empty_part is not None:
        error = check_name(name, existing_names)
        return ParsedPart(group.empty_part, {NAME_FIELD: error} if error else {})
    return parse_named(group.form, form, list_choices(document), name, existing_names)


def render_form(console, req, inputs, errors, message="", **values):
    """Show a form with the error messages next to the fields."""
    status = 409 if message else 422 if errors else 200
    context = {"name": "", "has_name": False, "hidden": {}, **values}
    return console.pages.render(
        req,
        "form.html",
        status,
        inputs=inputs,
        name_error=errors.get(NAME_FIELD, ""),
        message=message,
        draft=req.session.draft,
        **context,
    )


def _render_form(console, req, group, name, fields, errors, message=""):
    choices = list_choices(req.session.draft.document)
    noun = group.noun.capitalize()
    is_new = _is_new(req)
    return render_form(
        console,
        req,
        list_inputs(group.form, fields, errors, choices),
        errors,
        message,
        title=f"New {group.noun}" if is_new else f"{noun} {name}",
        name=name,
        has_name=is_new,
        hidden={} if is_new else {NAME_FIELD: name},
        back=f"/{group.name}",
    )


def _render_limits(console, req, fields, errors, message=""):
    inputs = list_inputs(LIMITS, fields, errors, {})
    return render_form(
        console, req, inputs, errors, message, title="Limits", back="/status"
    )


def _list_rows(group, document):
    return [
        (name, [getattr(part, field.name) for field in group.list_columns()])
        for name, part in getattr(document, group.name).items()
    ]


def _find_group(req):
    return GROUPS[req.path.split("/")[1]]


def _is_new(req):
    return req.path.endswith("/new")
