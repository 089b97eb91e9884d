"""Render the pages of the console."""

import jinja2

from wisteriaworks.console_http import CSS, HTML, Response

# Pages in the order of the navigation bar.
NAVIGATION = (
    ("/status", "Status"),
    ("/domains", "Failure domains"),
    ("/searches", "Searches"),
    ("/indexes", "Indexes"),
    ("/callers", "Callers"),
    ("/limits", "Limits"),
    ("/objectives", "Objectives"),
    ("/review", "Review and apply"),
)


class Pages:
    """Render templates; ``create_token(cookie)`` returns the CSRF token."""

    def __init__(self, create_token):
        self._create_token = create_token
        self._environment = jinja2.Environment(
            loader=jinja2.PackageLoader("wisteriaworks", "templates"),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )

    def render(self, req, template, status=200, headers=(), **values):
        """Return the response with a rendered template."""
        text = self._environment.get_template(template).render(
            navigation=NAVIGATION,
            path=req.path,
            session=req.session,
            token=self._create_token(req.cookie),
            **values,
        )
        return Response(status, text.encode(), ((b"content-type", HTML), *headers))

    def render_message(self, req, status, title, text):
        """Return a page that states why a request was not executed."""
        return self.render(req, "message.html", status, title=title, text=text)

    def render_style(self):
        """Return the style sheet."""
        text = self._environment.get_template("style.css").render()
        return Response(200, text.encode(), ((b"content-type", CSS),))
