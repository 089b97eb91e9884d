"""Send the console's reads and changes to the control group."""

import trio

from wisteriaworks.errors import ControlError
from wisteriaworks.generated.messages import ReadConfiguration, ReadStatus

# Covers an election of about 3 s and one attempt at each member after it.
CALL_TIMEOUT_S = 5.0
SEND_ATTEMPTS = 3
RESEND_DELAY_S = 0.5


class ConsoleControl:
    """Read and propose the configuration and read the status."""

    def __init__(self, client):
        self._client = client

    async def read_configuration(self):
        """Return the reply with the document in force. Raises ControlError."""
        return await self._read(ReadConfiguration())

    async def read_status(self):
        """Return the status that the leader reports. Raises ControlError."""
        return await self._read(ReadStatus())

    async def propose(self, message):
        """Return the reply to a ``ProposeConfiguration``.

        Control stores the reply under the operation id, so a change whose reply
        was lost is sent again. Raises ControlError; its ``sent`` is true if the
        change may have been accepted.
        """
        sent = False
        for attempt in range(1, SEND_ATTEMPTS + 1):
            try:
                return await self._client.call(message, CALL_TIMEOUT_S)
            except ControlError as exc:
                sent = sent or exc.sent
                if attempt == SEND_ATTEMPTS:
                    raise ControlError(exc.message, sent=sent) from exc
            await trio.sleep(RESEND_DELAY_S)

    async def _read(self, message):
        try:
            return await self._client.call(message, CALL_TIMEOUT_S)
        except ControlError as exc:
            # ``sent`` applies to changes only, and a read changes nothing.
            raise ControlError(exc.message, sent=False) from exc
