"""Guard against operators and new systems that a VM without a disk leads nowhere."""

import functools
import itertools
import subprocess
import sys

import httpcore
import msgspec
import pytest
import trio
from cleo.testers.application_tester import ApplicationTester
from platform_stand_in import StandInSystem, make_servers
from test_gateway_system import make_configuration

from wisteriaworks import codec, control, control_command, founding, rpc
from wisteriaworks.errors import SettingsError
from wisteriaworks.events import Event
from wisteriaworks.framing import Frame, FrameKind, FrameReader, pack_frame
from wisteriaworks.generated import messages as full
from wisteriaworks.generated.consensus import Member
from wisteriaworks.member_supervisor import MemberSupervisor
from wisteriaworks.metrics import create_unexported_metrics
from wisteriaworks.redirect import members, messages, process, protocols

LISTEN, ADDRESS = "10.0.0.9:81", "10.0.0.9:70"
SEEDS = ("10.0.0.9:81", "10.0.0.1:82")
ONE, TWO = "10.0.0.1:70", "10.0.0.2:70"
THREE, FOUR = "10.0.0.3:70", "10.0.0.4:70"
ADDRESSES = (ONE, TWO, THREE, FOUR)
SECONDS = 20.0


def make_view(found=True, seeds=SEEDS):
    return members.MemberView(LISTEN, ADDRESS, seeds, found, 0.0)


def make_reply(member_id, leader, listed=(ONE, TWO), commit_index=0):
    """Return the answer of a member whose group has the ids m1/0, m2/0 and so on."""
    ids = {address: f"m{number}/0" for number, address in enumerate(ADDRESSES, 1)}
    listed = {ids[address]: address for address in listed}
    return members.MembersReply(member_id, leader, listed, commit_index)


@pytest.mark.parametrize(
    ("now", "target"), [(1.0, "10.0.0.2:81"), (3.0, "10.0.0.1:82"), (9.0, "")]
)
def test_operators_are_sent_to_the_leader_or_to_another_running_member(now, target):
    """A member that has failed is not named; without any, operators move on."""
    view = make_view()
    view.handle_reply(make_reply("m2/0", TWO), 0.0)
    view.handle_reply(make_reply("m1/0", TWO), 1.0)
    assert view.find_operator_address(now) == target


def test_process_does_not_ask_itself_or_trust_processes_without_a_disk():
    view = make_view()
    assert view.list_addresses() == [ONE]
    view.handle_reply(make_reply("", TWO, listed=()), 0.0)
    assert view.find_member(0.1) == ""
    assert view.list_addresses() == [TWO, ONE]


@pytest.mark.parametrize(
    ("found", "seeds", "is_appointed"),
    [(True, SEEDS, True), (False, SEEDS, False), (True, SEEDS[::-1], False)],
)
def test_first_seed_of_a_new_system_appoints_one_founder(found, seeds, is_appointed):
    """Two founders would create two groups."""
    view = make_view(found, seeds)
    assert view.appoint(ONE, 0.0) == ""
    answers = [view.appoint(address, 1.0) for address in (TWO, ONE, TWO)]
    assert answers == [TWO if is_appointed else ""] * 3


def test_restarted_first_seed_appoints_nobody_in_an_existing_group():
    view = make_view()
    view.handle_reply(make_reply("m1/0", ONE, [ONE]), 0.1)
    assert view.appoint(TWO, 1.0) == ""


@pytest.mark.parametrize("index", [0, 127, 128, 2**8, 2**16, 2**32, 2**63])
def test_messages_are_those_of_the_complete_codec(index):
    member = Member(id="m1/0", address=ONE, voter=True, domain="a")
    reply = codec.encode(full.MembersReply("m1/0", ONE, (member,), index))
    replies = []
    question = protocols.MembersQuestion(replies.append)
    question.receive(pack_frame(Frame(1, FrameKind.REPLY, reply)))
    assert replies == [make_reply("m1/0", ONE, [ONE], index)]
    for sent, expected in (
        ([messages.READ_MEMBERS], full.ReadMembers()),
        ([messages.ANNOUNCE_MEMBER, ONE], full.AnnounceMember(ONE)),
        ([messages.NOT_LEADER, ONE], full.NotLeader(ONE)),
        ([messages.FOUNDER_REPLY, ONE], full.FounderReply(ONE)),
        ([messages.MEMBERS_REPLY, "", ONE, []], full.MembersReply("", ONE, ())),
    ):
        assert codec.decode(messages.encode(sent)) == expected


@pytest.mark.parametrize("size", range(1, 30))
def test_damaged_messages_are_refused(size):
    member = Member(id="m1/0", address=ONE, voter=True, domain="a")
    reply = codec.encode(full.MembersReply(id="m1/0", leader=ONE, members=(member,)))
    with pytest.raises(ValueError):
        messages.decode(reply[:size])
    with pytest.raises(ValueError):
        messages.decode(b"\x91" * 1000)


def test_gateways_and_members_get_the_address_of_a_member():
    view = make_view()
    view.handle_reply(make_reply("m1/0", ONE, [ONE]), 0.0)
    calls = protocols.MemberCalls(view, lambda: 0.1)
    watch = codec.encode(full.Watch(name="g", config_version=0))
    request = pack_frame(Frame(4, FrameKind.REQUEST, watch))
    assert calls.receive(request[:5]) == b""
    reply, end = FrameReader().feed(calls.receive(request[5:]))
    assert codec.decode(reply.payload) == full.NotLeader(ONE)
    assert (reply.number, end.kind) == (4, FrameKind.END)


@pytest.mark.parametrize(
    "message",
    [
        [messages.APPOINT_FOUNDER],
        [messages.APPOINT_FOUNDER, []],
        [messages.APPOINT_FOUNDER, "x"],
        [messages.ANNOUNCE_MEMBER],
        [messages.ANNOUNCE_MEMBER, "x"],
        [messages.MEMBERS_REPLY, "m1/0", ONE, [], "x"],
        [[]],
    ],
)
def test_message_with_other_fields_ends_no_process(message):
    payload = messages.encode(message)
    calls = protocols.MemberCalls(make_view(), lambda: 1.0)
    calls.receive(pack_frame(Frame(1, FrameKind.REQUEST, payload)))
    question = protocols.MembersQuestion(lambda *reply: None)
    question.receive(pack_frame(Frame(1, FrameKind.REPLY, payload)))
    assert question.is_done


@pytest.mark.parametrize("data", [b"\xff" * 40, bytes(9), b"\x00\x00\xff\xff" * 40000])
def test_connection_with_garbage_is_closed(data):
    calls = protocols.MemberCalls(make_view(), lambda: 0.0)
    assert calls.receive(data) == b""
    assert calls.is_done


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (b"PUT /api/config HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", b"307"),
        (b"GET /api/config HTTP/1.1\r\n\r\n", b"307"),
        (
            b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n",
            b"307",
        ),
        (
            b"PUT /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
            b"307",
        ),
        (b"GET /" + b"a" * 20000, b"400"),
        (b"PUT / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", b"400"),
        (b"PUT / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", b"413"),
    ],
)
def test_http_call_is_answered_after_its_body(request_, status):
    call = protocols.HttpCall(lambda target: (307, (f"Location: http://m{target}",)))
    replies = [call.receive(request_[at : at + 7]) for at in range(0, len(request_), 7)]
    # An answer before the end of the body would break the sending of the rest.
    assert not any(replies[:-1]) or status in (b"400", b"413")
    assert b"".join(replies).split(b" ")[1] == status
    assert call.is_done


class VotersSystem(StandInSystem):
    """Run members that survive two losses; the first seeds have no disk."""

    domains = "aabbccdd"
    without_disk = 0
    tolerated_losses = 2

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.children = []
        # An event for each member, which is set when its program has ended.
        self.ended = {}

    def make_control_settings(self, host, found=False):
        cfg = super().make_control_settings(host, found)
        operators = msgspec.structs.replace(
            cfg.operators, tolerated_losses=self.tolerated_losses
        )
        domain = self.domains[self.hosts.index(host)]
        return msgspec.structs.replace(cfg, domain=domain, operators=operators)

    async def start_control(self, host, found=False):
        cfg = self.make_control_settings(host, found)
        if self.hosts.index(host) < self.without_disk:
            return self._start_without_disk(cfg)
        supervisor = MemberSupervisor(
            functools.partial(control.ControlProgram, cfg, create_unexported_metrics()),
            cfg.data_folder,
            functools.partial(control.create_group_if_first_seed, cfg),
            functools.partial(founding.create_group, cfg),
        )
        await self._nursery.start(self._run, host, supervisor)
        self.control[host] = supervisor
        return None

    def _start_without_disk(self, cfg):
        path = self._folder / f"{cfg.name}.yaml"
        path.write_bytes(
            msgspec.yaml.encode(msgspec.structs.replace(cfg, data_folder=None))
        )
        code = (
            "import sys; from wisteriaworks.redirect.process import *;"
            "path = sys.argv[1]; sys.exit(run_redirect(read_settings(path), path))"
        )
        self.children.append(
            subprocess.Popen([sys.executable, "-c", code, path], stderr=subprocess.PIPE)
        )

    async def _run(self, host, program, task_status):
        self.ended[host] = trio.Event()
        await super()._run(host, program, task_status=task_status)
        self.ended[host].set()

    def read_members(self):
        """Return the member list of the leader."""
        replicas = [m.program.node.replica for m in self.control.values() if m.program]
        return next((r.members for r in replicas if r and r.is_leader), ())


@pytest.fixture(params=itertools.product((6, 8), (0, 1, 3)), ids=str)
async def system(request, nursery, tmp_path):
    count, without_disk = request.param
    system = VotersSystem(nursery, tmp_path, make_servers(), count, gateways=0)
    system.without_disk = without_disk
    if without_disk == 3:
        # The others are the members of a system with one disk in each domain.
        system.domains = "abcabcda"
    yield system
    for child in system.children:
        child.terminate()
        assert child.wait(SECONDS) == 0
        assert str(Event.REDIRECT_STARTED.value.number).encode() in child.stderr.read()
        child.stderr.close()


async def test_group_forms_whichever_seeds_have_no_disk(system):
    """Without a disk the first seed can't create the group, and no seed may be one."""
    await system.start()
    expected = min(5, len(system.hosts) - system.without_disk)

    async def is_formed():
        return sum(m.voter for m in system.read_members()) == expected

    await system.wait_until(is_formed)
    host = system.hosts[0]
    url = f"http://{host}:{system.seeds[0].rpartition(':')[2]}/api/config"
    body = make_configuration(5)
    async with httpcore.AsyncConnectionPool() as pool:
        with trio.fail_after(SECONDS):
            while (await _put(pool, url, body)) != 200:
                await trio.sleep(0.1)


async def _put(pool, url, body):
    """Return the status of an operator's call that follows two redirects."""
    for _ in range(3):
        reply = await pool.request("PUT", url, content=body)
        if reply.status != 307:
            break
        url = dict(reply.headers)[b"Location"].decode()
    return reply.status


def test_process_without_a_disk_does_not_import_the_program_of_a_member():
    """Its memory and start time are those of its imports."""
    code = "import sys, wisteriaworks.redirect.process; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    heavy = {"trio", "msgspec", "loguru", "httpcore", "hypercorn", rpc.__name__}
    assert not heavy.intersection(done.stdout.split())


@pytest.mark.parametrize(
    ("text", "has_disk"),
    [
        ("data_folder:\noperators: {listen: a}", False),
        ("data_folder: null\noperators: {listen: a}", False),
        ("data_folder: /data\noperators: {listen: a}", True),
        ("[", True),
    ],
)
def test_settings_without_a_data_folder_are_those_without_a_disk(
    tmp_path, text, has_disk
):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    assert (process.read_settings(path) is None) == has_disk


@pytest.mark.parametrize(
    ("text", "seeds"),
    [
        ("operators: {seeds: ['10.0.0.3:81']}", ("10.0.0.3:81",)),
        ("operators: {seeds: 3}", SEEDS),
        ("[", SEEDS),
    ],
)
def test_changed_seeds_are_used(tmp_path, text, seeds):
    """Members whose VMs were all replaced are found by new seeds only."""
    path = tmp_path / "settings.yaml"
    operators = {"listen": LISTEN, "seeds": list(SEEDS)}
    settings = {"name": "c", "address": ADDRESS, "admin": ADDRESS}
    redirect = process.RedirectProcess(settings | {"operators": operators}, path)
    path.write_text(text)
    redirect.reload()
    assert redirect.seeds == seeds


@pytest.mark.parametrize("command", ["init", "run"])
def test_member_without_a_data_folder_is_a_settings_error(tmp_path, command):
    path = tmp_path / "settings.yaml"
    path.write_text(f"{{name: c, domain: a, address: '{ADDRESS}', admin: '{LISTEN}'}}")
    tester = ApplicationTester(control_command.make_application())
    assert tester.execute(f"{command} {path}") == SettingsError.exit_code
    assert "data_folder" in tester.io.fetch_error()
