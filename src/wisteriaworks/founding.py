"""Create the control group of a new system, although its first seed may have no disk.

Load pattern: all processes of a new system start in any order. The first seed creates
the group; if it has no disk, it appoints the first member that asks it, so that exactly
one member creates a group.
"""

import trio

from wisteriaworks.errors import RpcError
from wisteriaworks.gateway.control_watch import list_member_addresses
from wisteriaworks.generated.messages import AppointFounder, FounderReply
from wisteriaworks.log_store import initialise_once
from wisteriaworks.rpc import Channel, split_address

ASK_INTERVAL_S = 0.1
ASK_TIMEOUT_S = 0.3


def create_group(cfg):
    """Create the group with this member, unless its folder holds a log."""
    initialise_once(cfg.data_folder, cfg.name, cfg.address, cfg.domain)


def create_group_if_first_seed(cfg):
    """Create the group with this member, if it is the first seed in the settings."""
    operators = cfg.operators
    if operators is None or not operators.found or not operators.seeds:
        return
    if operators.seeds[0] == operators.listen:
        create_group(cfg)


async def decline_to_appoint(message, send):
    """Answer AppointFounder at a member: it creates the group or joins it itself."""
    return FounderReply(address="")


async def wait_for_appointment(cfg, replica):
    """Return whether the first seed appoints this member to create the group.

    Returns False once this member belongs to a group or another one is appointed.
    """
    operators = cfg.operators
    if not operators.found or operators.listen in operators.seeds[:1]:
        return False
    port = split_address(cfg.address)[1]
    for seed in list_member_addresses(operators.seeds[:1], port):
        async with Channel(seed, ASK_TIMEOUT_S) as channel:
            while not replica.members:
                if founder := await _ask_for_founder(channel, cfg.address):
                    return founder == cfg.address
                await trio.sleep(ASK_INTERVAL_S)
    return False


async def _ask_for_founder(channel, address):
    try:
        reply = await channel.call(AppointFounder(address), ASK_TIMEOUT_S)
    except RpcError:
        return ""
    return reply.address if isinstance(reply, FounderReply) else ""
