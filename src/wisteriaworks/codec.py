"""Encode and decode the messages between processes."""

import functools
import operator

import msgspec

from wisteriaworks.generated import consensus, messages, subqueries

_MODULES = (messages, subqueries, consensus)


def _list_structs(module):
    return [
        value
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, msgspec.Struct)
        and value.__module__ == module.__name__
    ]


_TYPES = [struct for module in _MODULES for struct in _list_structs(module)]
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(functools.reduce(operator.or_, _TYPES))


def encode(message):
    """Return a message as msgpack bytes."""
    return _ENCODER.encode(message)


def decode(data):
    """Return the message in msgpack bytes.

    Raises msgspec.DecodeError or msgspec.ValidationError.
    """
    try:
        return _DECODER.decode(data)
    except RecursionError as exc:
        raise msgspec.DecodeError("the message is nested too deeply") from exc
