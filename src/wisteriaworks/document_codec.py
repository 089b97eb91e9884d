"""Encode complete configuration documents for other processes."""

import msgspec

from wisteriaworks.compression import compress, decompress
from wisteriaworks.generated.document import Document

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Document)


def pack_document(document):
    """Encode a document as bytes."""
    return compress(_ENCODER.encode(document))


def unpack_document(data):
    """Decode the result of ``pack_document``. Raises ValueError."""
    return _DECODER.decode(decompress(data))
