"""Edit configuration documents; each function returns a changed copy."""

import msgspec

from wisteriaworks.generated.document import Index


def put_part(document, group, name, part):
    """Return a document with a new or changed part in a group."""
    parts = getattr(document, group) | {name: part}
    return msgspec.structs.replace(document, **{group: parts})


def remove_part(document, group, name):
    """Return a document without a part of a group."""
    parts = {key: part for key, part in getattr(document, group).items() if key != name}
    return msgspec.structs.replace(document, **{group: parts})


def find_server(document, index, name):
    """Return a server of an index, or None."""
    servers = document.indexes[index].servers
    return next((server for server in servers if server.name == name), None)


def put_server(document, index, server):
    """Return a document with a server replaced in its position, or added at the end."""
    servers = {s.name: s for s in document.indexes[index].servers}
    servers[server.name] = server
    return put_part(document, "indexes", index, Index(servers=tuple(servers.values())))


def remove_server(document, index, name):
    """Return a document without a server; the index may become empty."""
    servers = tuple(s for s in document.indexes[index].servers if s.name != name)
    return put_part(document, "indexes", index, Index(servers=servers))
