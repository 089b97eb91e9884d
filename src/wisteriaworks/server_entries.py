"""Select the entry of each server among those that a list has under its id.

Load pattern: other writers add entries to the platform's list, also under the ids of
servers. No I/O.
"""


def select_entries(entries, services, known):
    """Return one entry for each id, by id.

    Entries of ``services``, those that the configuration names, go before others. If
    they are of several services, the entry that is ``known`` by id decides; without
    one, the id has no entry, since the wrong one would lead requests to a server of
    another service. Of several entries of one service the last one is the newest.
    """
    by_id = {}
    for entry in entries:
        by_id.setdefault(entry.id, []).append(entry)
    selected = {
        server_id: _select(group, services, known.get(server_id))
        for server_id, group in by_id.items()
    }
    return {server_id: entry for server_id, entry in selected.items() if entry}


def _select(group, services, known):
    if len(group) == 1:
        return group[0]
    candidates = [entry for entry in group if entry.service in services] or group
    if any(entry.service != candidates[0].service for entry in candidates):
        known_service = known and known.service
        candidates = [entry for entry in candidates if entry.service == known_service]
    return candidates[-1] if candidates else None
