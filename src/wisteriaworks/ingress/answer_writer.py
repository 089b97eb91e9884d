"""Write answers to a client that may take them slowly, or not at all."""

import trio

from wisteriaworks.ingress.answer_memory import Delivery

# A client makes progress when it has taken as much of an answer.
STEP_BYTES = 16 * 1024
# A client has to take each piece of an answer within the timeout. A link of 7 Mbit/s
# takes 0.1 s for one.
PIECE_BYTES = 64 * 1024
SEND_TIMEOUT_S = 30.0


class AnswerWriter:
    """Write the answers of one connection.

    ``client`` is the entry of the connection in the table of clients.
    """

    def __init__(self, stream, ingress, client):
        self._stream = stream
        self._ingress = ingress
        self._client = client
        self._scope = trio.CancelScope()

    def cancel(self):
        """End the answer that is being written."""
        self._scope.cancel()

    async def write_interim(self, data):
        """Write an interim answer; return whether the client took it.

        The request goes on, so it is held as before. Raises trio.BrokenResourceError
        or trio.ClosedResourceError.
        """
        with trio.move_on_after(SEND_TIMEOUT_S) as self._scope:
            await self._stream.send_all(data)
            return True
        return False

    async def write(self, parts):
        """Write the bytes-like parts of an answer; return whether all were taken.

        Raises trio.BrokenResourceError or trio.ClosedResourceError.
        """
        now = trio.current_time()
        delivery = Delivery(self.cancel, sum(map(len, parts)), now, now)
        answers = self._ingress.answers
        with trio.move_on_after(SEND_TIMEOUT_S) as self._scope:
            self._ingress.table.answer(self._client, now)
            if self._client.is_public:
                answers.begin(delivery, now)
            try:
                await self._write_steps(parts, delivery)
                return True
            finally:
                answers.end(delivery)
        return False

    async def _write_steps(self, parts, delivery):
        next_piece = PIECE_BYTES
        for step in _split(parts):
            await self._stream.send_all(step)
            now = trio.current_time()
            self._client.progressed_at = now
            delivery.record_progress(len(step), now)
            if delivery.taken >= next_piece:
                next_piece = delivery.taken + PIECE_BYTES
                self._scope.deadline = now + SEND_TIMEOUT_S


def _split(parts):
    """Yield a short answer as a whole, and a long one in steps without a copy."""
    if sum(map(len, parts)) <= STEP_BYTES:
        yield b"".join(parts)
        return
    for part in map(memoryview, parts):
        for start in range(0, len(part), STEP_BYTES):
            yield part[start : start + STEP_BYTES]
