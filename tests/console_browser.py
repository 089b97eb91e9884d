"""A test browser for the console that calls the ASGI app in process."""

import hashlib
import html
import re
import urllib.parse

import fake_control

from wisteriaworks.console_app import ConsoleApp
from wisteriaworks.generated.settings import ConsoleSettings

PASSWORD = "correct horse"
CFG = ConsoleSettings(
    name="console-1",
    listen="127.0.0.1:1",
    admin="127.0.0.1:2",
    control=("127.0.0.1:3",),
    operators={"mira": hashlib.sha256(PASSWORD.encode()).hexdigest()},
)
_HIDDEN = re.compile(r'<input type="hidden" name="(\w+)" value="([^"]*)">')


class Browser:
    """Store the cookie and the last page of one operator."""

    def __init__(self, document, version=1):
        self.control = fake_control.FakeControl(document, version)
        self.now = 0.0
        self.app = ConsoleApp(CFG, self.control, lambda: self.now)
        self.cookie = ""

    async def send(self, method, target, form=None, headers=()):
        """Send one request without following redirects."""
        path, _, query = target.partition("?")
        body = urllib.parse.urlencode(form or {}, doseq=True).encode()
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [
                (b"host", b"console:80"),
                (b"cookie", self.cookie.encode()),
                *headers,
            ],
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message):
            sent.append(message)

        await self.app(scope, receive, send)
        self.status = sent[0]["status"]
        self.headers = dict(sent[0]["headers"])
        self.page = sent[1]["body"].decode()
        self.location = self.headers.get(b"location", b"").decode()
        if b"set-cookie" in self.headers:
            self.cookie = self.headers[b"set-cookie"].decode().partition(";")[0]
        return self.status

    async def get(self, target):
        return await self.send("GET", target)

    def hidden(self, action):
        """Return the hidden fields of the form ``action`` on the last page."""
        forms = self.page.split("<form ")[1:]
        text = next(form for form in forms if f'action="{action}"' in form)
        fields = _HIDDEN.findall(text.partition("</form>")[0])
        return {name: html.unescape(value) for name, value in fields}

    async def submit(self, action, headers=(), **fields):
        """Submit the form ``action`` on the last page."""
        form = {**self.hidden(action), **fields}
        return await self.send("POST", action, form, headers)

    def find_draft(self):
        """Return the draft of the signed-in operator."""
        sessions = self.app._console.sessions
        return sessions.find(self.cookie.partition("=")[2]).draft

    async def sign_in(self):
        await self.get("/sign-in")
        await self.submit("/sign-in", name="mira", password=PASSWORD)
        return self
