"""The console's ASGI app, which routes requests to the pages."""

import dataclasses
from dataclasses import dataclass

from wisteriaworks import (
    console_configuration,
    console_domains,
    console_review,
    console_servers,
    console_sign_in,
    console_status,
)
from wisteriaworks.asgi import run_lifespan, send_response
from wisteriaworks.console_control import ConsoleControl
from wisteriaworks.console_groups import GROUPS
from wisteriaworks.console_http import (
    SECURITY_HEADERS,
    PageError,
    Request,
    is_cross_origin,
    read_request,
    redirect,
)
from wisteriaworks.console_pages import Pages
from wisteriaworks.console_sessions import SessionStore
from wisteriaworks.errors import ERROR_RESPONSES, ControlError, RequestError
from wisteriaworks.events import Event, log_event
from wisteriaworks.generated.settings import ConsoleSettings

STYLE = "/style.css"
SIGN_IN = "/sign-in"
ROLLOUT = "/rollout"
_FORGED = "The form was not made for this session. Go back, reload and try again."
_EMPTY_REQUEST = Request("GET", "", {}, {}, "", "", "")
# Pages that reload themselves; these requests do not renew the session.
_AUTO_REFRESH_PATHS = frozenset({ROLLOUT})
_ROUTES = {
    ("GET", SIGN_IN): console_sign_in.show_sign_in,
    ("POST", SIGN_IN): console_sign_in.sign_in,
    ("POST", "/sign-out"): console_sign_in.sign_out,
    ("GET", "/status"): console_status.show_status,
    ("GET", "/status/servers"): console_status.show_servers,
    ("GET", ROLLOUT): console_status.show_rollout,
    ("GET", "/domains"): console_domains.show_domains,
    ("GET", console_domains.DRAIN): console_domains.show_confirmation,
    ("POST", console_domains.DRAIN): console_domains.change_domain_state,
    ("GET", console_domains.RETURN): console_domains.show_confirmation,
    ("POST", console_domains.RETURN): console_domains.change_domain_state,
    ("GET", "/limits"): console_configuration.show_limits,
    ("POST", "/limits"): console_configuration.save_limits,
    ("GET", "/indexes"): console_configuration.show_indexes,
    ("GET", "/indexes/servers"): console_servers.show_servers,
    ("GET", "/indexes/servers/new"): console_servers.show_form,
    ("POST", "/indexes/servers/new"): console_servers.save,
    ("GET", "/indexes/servers/edit"): console_servers.show_form,
    ("POST", "/indexes/servers/edit"): console_servers.save,
    ("POST", "/indexes/servers/remove"): console_servers.remove,
    ("GET", "/review"): console_review.show_review,
    ("POST", "/review/apply"): console_review.apply_draft,
    ("POST", "/review/rebase"): console_review.rebase,
    ("POST", "/review/discard"): console_review.discard,
}
for _group in GROUPS.values():
    _ROUTES |= console_configuration.list_routes(_group)
_PATHS = frozenset(path for _, path in _ROUTES)


@dataclass(frozen=True, slots=True)
class Console:
    """Store the objects that all pages share."""

    cfg: ConsoleSettings
    control: ConsoleControl
    sessions: SessionStore
    pages: Pages


class ConsoleApp:
    """Serve the requests of operators' browsers."""

    def __init__(self, cfg, client, clock):
        sessions = SessionStore(cfg.session_s, clock)
        pages = Pages(sessions.create_token)
        self._console = Console(cfg, ConsoleControl(client), sessions, pages)
        self.running = 0

    async def __call__(self, scope, receive, send):
        match scope["type"]:
            case "lifespan":
                await run_lifespan(receive, send)
            case "http":
                await self._run(scope, receive, send)

    async def _run(self, scope, receive, send):
        self.running += 1
        try:
            response = await self._answer(scope, receive)
            headers = (*response.headers, *SECURITY_HEADERS)
            await send_response(send, response.status, response.body, headers)
        finally:
            self.running -= 1

    async def _answer(self, scope, receive):
        try:
            req = await read_request(scope, receive)
        except (PageError, RequestError) as exc:
            return self._render_error(_EMPTY_REQUEST, exc)
        session = self._console.sessions.find(req.cookie)
        req = dataclasses.replace(req, session=session)
        try:
            return await self._route(req)
        except (PageError, RequestError, ControlError) as exc:
            return self._render_error(req, exc)
        except Exception as exc:
            log_event(Event.HANDLER_FAILED, path=req.path, reason=repr(exc))
            text = "The request failed; the console's log has the event HANDLER_FAILED."
            return self._console.pages.render_message(req, 500, "Failure", text)

    async def _route(self, req):
        if req.path == STYLE:
            return self._console.pages.render_style()
        if req.path == "/":
            return redirect("/status")
        handler = _find_handler(req)
        if req.method == "POST":
            self._check_token(req)
        if req.session is None and req.path != SIGN_IN:
            return redirect(SIGN_IN)
        if req.session is not None and req.path not in _AUTO_REFRESH_PATHS:
            self._console.sessions.renew(req.session)
        return await handler(self._console, req)

    def _check_token(self, req):
        sessions = self._console.sessions
        if is_cross_origin(req) or not sessions.is_valid_token(
            req.cookie, req.get_field("token")
        ):
            raise PageError(403, _FORGED)

    def _render_error(self, req, exc):
        pages = self._console.pages
        match exc:
            case ControlError():
                return pages.render(
                    req,
                    "control_error.html",
                    503,
                    reason=exc.message,
                    is_change="operation_id" in req.form,
                    may_be_accepted=exc.sent,
                    fields=_list_resend_fields(req),
                )
            case RequestError():
                status = ERROR_RESPONSES[exc.kind].http_status
            case _:
                status = exc.status
        return pages.render_message(req, status, "Request failed", exc.message)


def _find_handler(req):
    handler = _ROUTES.get((req.method, req.path))
    if handler is None and req.path in _PATHS:
        raise PageError(405, "The page does not take this method.")
    if handler is None:
        raise PageError(404, "There is no such page.")
    return handler


def _list_resend_fields(req):
    """Return the form fields, without the token, to send the change again."""
    names = (name for name in req.form if name != "token")
    return [(name, value) for name in names for value in req.form[name]]
