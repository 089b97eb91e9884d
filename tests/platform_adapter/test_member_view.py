"""Guard against processes without a disk that follow late or foreign news."""

import pytest
from test_redirect import (
    FOUR,
    LISTEN,
    ONE,
    SEEDS,
    THREE,
    TWO,
    make_reply,
    make_view,
)

from wisteriaworks import codec
from wisteriaworks.framing import Frame, FrameKind, FrameReader, pack_frame
from wisteriaworks.generated import messages as full
from wisteriaworks.redirect import members, protocols

# Another group, whose member has an address of its own.
OTHER = members.MembersReply("x/9", "10.0.0.7:70", {"x/9": "10.0.0.7:70"}, 999)


def announce(view, address):
    payload = codec.encode(full.AnnounceMember(address))
    calls = protocols.MemberCalls(view, lambda: 0.0)
    frames = calls.receive(pack_frame(Frame(3, FrameKind.REQUEST, payload)))
    reply, _ = FrameReader().feed(frames)
    return codec.decode(reply.payload)


def test_announced_member_is_asked_and_named_only_after_its_answer():
    """A process that has started again knew no member, and nobody told it of one."""
    view = make_view(found=False, seeds=(LISTEN,))
    assert announce(view, TWO) == full.MembersReply("", "", ())
    assert view.list_addresses() == [TWO]
    assert view.name_member(0.0) == ""
    view.handle_reply(make_reply("m2/0", ONE), 0.0)
    assert announce(view, TWO) == full.MembersReply("", TWO, ())


def test_announced_member_prevents_a_second_group():
    """A first seed that starts again during the founding knows no founder."""
    view = make_view()
    announce(view, TWO)
    assert view.appoint(ONE, 1.0) == ""


def test_seeds_of_later_settings_appoint_nobody():
    """A second founder would be appointed if the seeds change during the founding."""
    view = make_view(seeds=SEEDS[::-1])
    view.seeds = SEEDS
    assert view.appoint(ONE, 1.0) == ""


def test_first_seed_appoints_although_later_settings_name_another():
    """The members of a new system ask the seed of the settings at their start."""
    view = make_view()
    view.seeds = SEEDS[::-1]
    assert [view.appoint(address, 1.0) for address in (TWO, ONE)] == [TWO, TWO]


def test_older_list_that_arrives_later_is_not_used():
    """A member that was removed while it was cut off led callers to nobody."""
    view = make_view()
    view.handle_reply(make_reply("m3/0", THREE, [TWO, THREE, FOUR], 9), 0.0)
    view.handle_reply(make_reply("m1/0", ONE, [ONE, TWO], 5), 0.1)
    assert view.find_member(0.2) == THREE
    view.handle_reply(make_reply("m3/0", THREE, [TWO, THREE], 9), 2.0)
    assert view.find_member(2.1) == THREE


def test_member_that_was_removed_is_not_named():
    view = make_view()
    view.handle_reply(make_reply("m1/0", ONE, [ONE, TWO], 5), 0.0)
    view.handle_reply(make_reply("m2/0", TWO, [TWO, THREE], 9), 0.1)
    view.handle_reply(make_reply("m1/0", ONE, [ONE, TWO], 5), 2.0)
    assert view.find_member(2.7) == ""


def test_member_without_a_group_is_not_named():
    """A member whose disk was lost keeps its address, and knows no configuration."""
    view = make_view()
    view.handle_reply(make_reply("m1/0", ONE, [ONE, TWO], 5), 0.0)
    view.handle_reply(members.MembersReply("m1/1", "", {}), 3.0)
    assert view.find_member(3.1) == ""


def test_other_group_is_used_only_after_the_first_one_is_silent():
    view = make_view()
    view.handle_reply(make_reply("m1/0", ONE, commit_index=5), 0.0)
    # A pause of the process itself is no silence of the members.
    view.handle_reply(OTHER, 100.0)
    assert view.find_member(100.1) == ""
    view.handle_reply(make_reply("m1/0", ONE, commit_index=5), 100.2)
    assert view.find_member(100.3) == ONE
    for _ in range(members.FORGET_GROUP_ROUNDS):
        view.list_addresses()
    view.handle_reply(OTHER, 200.0)
    assert view.find_member(200.1) == OTHER.leader
    view.handle_reply(make_reply("m1/0", ONE, commit_index=5000), 200.2)
    assert view.find_member(200.3) == OTHER.leader


@pytest.mark.parametrize("members_known", [3, 9, 15])
def test_each_known_address_is_asked_in_turn(members_known):
    """If all listed members have moved, only others know the new ones."""
    view = make_view(found=False)
    ids = {f"m{n}/0": f"10.0.1.{n}:70" for n in range(members_known)}
    view.handle_reply(members.MembersReply("m0/0", "10.0.1.0:70", ids, 1), 0.0)
    view.add_candidate(FOUR)
    asked = [view.list_addresses() for _ in range(8)]
    assert {*ids.values(), FOUR, ONE} == {a for addresses in asked for a in addresses}
    assert all(len(addresses) <= members.ASKED_AT_ONCE for addresses in asked)
    assert all(addresses[0] == "10.0.1.0:70" for addresses in asked)


def test_number_of_candidates_is_bounded():
    view = make_view(found=False, seeds=(LISTEN,))
    for number in range(100):
        view.add_candidate(f"10.0.2.{number}:70")
    asked = {a for _ in range(100) for a in view.list_addresses()}
    assert asked == {f"10.0.2.{n}:70" for n in range(100 - members.MAX_CANDIDATES, 100)}
