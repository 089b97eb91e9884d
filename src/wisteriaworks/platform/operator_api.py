"""HTTP interface of the platform's operators, translated into operator commands."""

import trio

from wisteriaworks.asgi import (
    read_body,
    run_lifespan,
    send_response,
    wait_for_disconnect,
)
from wisteriaworks.clocks import read_boot_time
from wisteriaworks.errors import ERROR_RESPONSES, DocumentError, RequestError
from wisteriaworks.events import Event, log_event
from wisteriaworks.operator_commands import UnavailableError
from wisteriaworks.order_age import OrderAge
from wisteriaworks.platform import rollout_format
from wisteriaworks.platform.config_format import read_configuration
from wisteriaworks.shared_read import SharedRead

MAX_BODY_BYTES = 8 * 1024 * 1024
_CONFIG_PATH = "/api/config"
_EVACUATE_PREFIX = "/api/evacuate/"
_ROLLOUTS_PATH = "/api/rollouts"
_IS_OUT_BY_METHOD = {"POST": True, "DELETE": False}


class OperatorApi:
    """Answer the operators' calls as an ASGI app.

    ``operator_commands`` is an OperatorCommandClient, and ``stall_watch`` the
    StallWatch of the process. Without ``has_rollouts``, calls for rollouts are unknown.
    """

    def __init__(self, operator_commands, stall_watch, has_rollouts=False):
        self._has_rollouts = has_rollouts
        self._operator_commands = operator_commands
        self._stall_watch = stall_watch
        # A configuration may be large, and each read passes it through the leader.
        self._read_source = SharedRead(operator_commands.read_source, UnavailableError)

    async def __call__(self, scope, receive, send):
        match scope["type"]:
            case "lifespan":
                await run_lifespan(receive, send)
            case "http":
                status, body = await self._answer(scope, receive)
                await send_response(send, status, body)

    async def _answer(self, scope, receive):
        method, path = scope["method"], scope["path"]
        try:
            if path == _CONFIG_PATH and method == "PUT":
                return await self._put(await read_body(receive, MAX_BODY_BYTES))
            if path == _CONFIG_PATH and method == "GET":
                return await self._get()
            if path.startswith(_EVACUATE_PREFIX) and method in _IS_OUT_BY_METHOD:
                domain = path.removeprefix(_EVACUATE_PREFIX)
                await self._set_domain(domain, _IS_OUT_BY_METHOD[method], receive)
                return 200, b"{}"
            if self._has_rollouts and path.startswith(_ROLLOUTS_PATH):
                return await self._answer_rollouts(method, path, receive)
        except UnavailableError as exc:
            return 503, exc.message.encode()
        except RequestError as exc:
            status = ERROR_RESPONSES[exc.kind].http_status
            return status, exc.message.encode()
        return 404, b"no such call"

    async def _answer_rollouts(self, method, path, receive):
        if path == _ROLLOUTS_PATH and method == "POST":
            return await self._start_rollout(await read_body(receive, MAX_BODY_BYTES))
        if path.startswith(f"{_ROLLOUTS_PATH}/") and method == "GET":
            service = path.removeprefix(f"{_ROLLOUTS_PATH}/")
            state = await self._operator_commands.read_rollout(service)
            if state is None:
                return 404, b"the service has had no rollout"
            return 200, rollout_format.encode_state(state)
        return 404, b"no such call"

    async def _start_rollout(self, body):
        try:
            order = rollout_format.read_order(body)
        except ValueError as exc:
            return 400, str(exc).encode()
        is_accepted = await self._operator_commands.order_rollout(
            order.service, order.target_version, order.duration_ms
        )
        if is_accepted:
            return 200, b"{}"
        return 409, b"another rollout of the service is in progress"

    async def _set_domain(self, domain, out, receive):
        now = read_boot_time()
        age = OrderAge(now, self._stall_watch.may_have_waited(now))
        await read_body(receive, MAX_BODY_BYTES)

        async def watch_sender():
            await wait_for_disconnect(receive)
            age.has_left = True

        failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_sender)
            try:
                await self._operator_commands.set_domain(domain, out, age)
            except UnavailableError as exc:
                failure = exc
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _put(self, body):
        try:
            change = read_configuration(body)
        except DocumentError as exc:
            log_event(Event.CONFIGURATION_REFUSED, reason=exc.message)
            return 400, exc.message.encode()
        await self._operator_commands.propose(change.version, change.document, body)
        return 200, b"{}"

    async def _get(self):
        version, source = await self._read_source.run()
        return (200, source) if version else (503, b"there is no configuration yet")
