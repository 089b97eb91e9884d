"""Read requests and send answers over ASGI."""

from wisteriaworks.errors import ErrorKind, RequestError

JSON = (b"content-type", b"application/json")
TEXT = (b"content-type", b"text/plain; charset=utf-8")


async def read_body(receive, limit):
    """Return a request body of at most ``limit`` bytes. Raises RequestError."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                "the connection was closed before the end of the body",
            )
        body += message.get("body", b"")
        if len(body) > limit:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE, f"the body is over {limit} bytes"
            )
        if not message.get("more_body"):
            return bytes(body)


async def wait_for_disconnect(receive):
    """Wait until the caller closes its connection. Call after the body was read."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_response(send, status, body, headers=(JSON,)):
    """Send one complete response."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def run_lifespan(receive, send):
    """Answer the lifespan messages of the ASGI server."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
