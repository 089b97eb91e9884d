"""Make the status report for operators."""

import trio

from wisteriaworks.generated.messages import EntryStatus, MemberStatus, StatusReply


def describe_status(node):
    """Return the status of the system as known to the leader."""
    leader = node.get_leader_state()
    machine = node.machine
    return StatusReply(
        leader=node.replica.leader_address,
        term=node.replica.term,
        commit_index=machine.applied_index,
        config_version=machine.version,
        members=tuple(map(_describe_member, node.replica.members)),
        entries=tuple(_list_entries(machine, leader)),
        servers=leader.routes.list_routes(),
    )


def _describe_member(member):
    return MemberStatus(
        id=member.id,
        address=member.address,
        voter=member.voter,
        match_index=getattr(member, "match_index", 0),
    )


def _list_entries(machine, leader):
    now = trio.current_time()
    for number, record in sorted(machine.sessions.items()):
        info = leader.sessions.get(number)
        yield EntryStatus(
            name=record.name,
            domain=record.domain,
            address=record.address,
            session=number,
            state=info.state,
            config_version=info.config_version,
            age_ms=int((now - info.last_contact_at) * 1000),
            held=machine.count_held(number),
        )
