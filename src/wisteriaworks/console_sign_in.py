"""The pages for signing in and out."""

import dataclasses

from wisteriaworks.console_http import redirect, set_cookie
from wisteriaworks.console_sessions import create_cookie, is_valid_password
from wisteriaworks.events import Event, log_event

_REFUSED = "The name and the password do not match an operator."


async def show_sign_in(console, req):
    """Show the form; its token is bound to a cookie that has no session yet."""
    if req.session is not None:
        return redirect("/status")
    return _render(console, req, "", "")


async def sign_in(console, req):
    """Open a session with a new cookie, or show the form with an error."""
    name = req.get_field("name")
    operators = console.cfg.operators
    if not is_valid_password(operators, name, req.get_field("password")):
        # A password typed into the name field must not be logged.
        known = name if name in operators else "unknown"
        log_event(Event.SIGN_IN_REFUSED, operator=known)
        return _render(console, req, name, _REFUSED, status=401)
    log_event(Event.OPERATOR_SIGNED_IN, operator=name)
    console.sessions.close(req.cookie)
    return redirect("/status", set_cookie(console.sessions.open(name)))


async def sign_out(console, req):
    """Delete the session and its draft."""
    console.sessions.close(req.cookie)
    return redirect("/sign-in", set_cookie(create_cookie()))


def _render(console, req, name, error, status=200):
    headers = ()
    if not req.cookie:
        req = dataclasses.replace(req, cookie=create_cookie())
        headers = (set_cookie(req.cookie),)
    return console.pages.render(
        req, "sign_in.html", status, headers, name=name, error=error
    )
