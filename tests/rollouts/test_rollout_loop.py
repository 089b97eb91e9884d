"""Guard against bad versions that get too many requests, and good ones rolled back."""

import pytest
import trio
from rollout_fakes import CFG, Gateway, System, break_off, fail, ok, refuse

from wisteriaworks.generated.messages import RolloutPhase

DURATION_S = 12.0
ROLLED_BACK, SUCCEEDED = RolloutPhase.ROLLED_BACK, RolloutPhase.SUCCEEDED


def is_new(entry):
    return entry.version == "v2"


def be_good(entry, route, now, load, rng):
    return ok()


def be_disturbed(entry, route, now, load, rng):
    """Crash, overload and slow down servers that are not of a bad version."""
    if entry.id == "v2-a" and 4 < now < 9:
        return break_off()
    if entry.id == "v2-b" and rng.random() < 0.3:
        return refuse()
    if entry.id == "v2-c" and rng.random() < 0.4:
        return fail()
    return ok(4.0 if 5 < now < 8 else 1.0)


def be_failing(share, start=0.0, route=None, load=0):
    def behave(entry, on_route, now, at_load, rng):
        is_bad = is_new(entry) and now >= 2 + start and at_load >= load
        is_bad = is_bad and route in (None, on_route) and rng.random() < share
        return fail() if is_bad else ok()

    return behave


def be_slow(factor, start=0.0, route=None):
    def behave(entry, on_route, now, load, rng):
        is_bad = is_new(entry) and now >= 2 + start and route in (None, on_route)
        return ok(factor if is_bad else 1.0)

    return behave


BAD_VERSIONS = {
    "fails": be_failing(1.0),
    "fails a fifth": be_failing(0.2),
    "fails late": be_failing(0.5, start=9.0),
    "fails under load": be_failing(0.5, load=4),
    "fails on one route": be_failing(0.6, route="report"),
    "slow": be_slow(3.5),
    "slow late": be_slow(5.0, start=8.0),
    "slow on one route": be_slow(5.0, route="page"),
}


async def play(seed, behave, scenario=None, **fields):
    """Order a rollout and return the system one second after its deadline."""
    system = System(seed, behave, **fields)

    async def run(system, nursery):
        await system.order(DURATION_S)
        if scenario is not None:
            nursery.start_soon(scenario, system, nursery)
        await trio.sleep(DURATION_S + 1)

    await system.run(run)
    return system


def count_exposure(system):
    """Return the sends to the new version until the deadline, and the allowed ones."""
    sends = [at for at in system.list_arrivals("v2") if 2 <= at < 2 + DURATION_S]
    reached = [at for at in system.list_arrivals("v1") if 2 <= at < 2 + DURATION_S]
    allowed = CFG.exposure_share * (len(sends) + len(reached)) + CFG.exposure_slack
    return len(sends), allowed


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", BAD_VERSIONS)
async def test_bad_version_is_rolled_back_within_its_exposure(
    name, seed, autojump_clock
):
    system = await play(seed, BAD_VERSIONS[name])
    sends, allowed = count_exposure(system)
    assert sends <= allowed
    phase, at, _ = system.phases[-1]
    assert phase is ROLLED_BACK
    assert all(sent < at + 1 for sent in system.list_arrivals("v2"))


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("behave", [be_good, be_disturbed])
async def test_good_version_succeeds_before_its_deadline(behave, seed, autojump_clock):
    system = await play(seed, behave)
    phase, at, old_running = system.phases[-1]
    assert phase is SUCCEEDED
    assert at < 2 + DURATION_S
    assert old_running == 0
    assert not [sent for sent in system.list_arrivals("v1") if sent >= at]


async def test_new_leader_continues_by_the_log_and_the_totals(autojump_clock):
    async def change_leader(system, nursery):
        await trio.sleep(5)
        system.replica.is_leader = False
        await trio.sleep(1.5)
        system.coordinator = system.make_coordinator()
        system.replica.term, system.replica.is_leader = 2, True
        system.replica.became_leader_at = trio.current_time()
        nursery.start_soon(system.coordinator.run)
        for gateway in system.gateways:
            gateway.versions.report_again()

    system = await play(1, be_failing(0.4), change_leader)
    assert system.phases[-1][0] is ROLLED_BACK
    sends, allowed = count_exposure(system)
    assert sends <= allowed


@pytest.mark.parametrize("behave", [be_good, be_failing(0.3)])
async def test_disconnected_and_restarted_gateways_keep_to_the_share(
    behave, autojump_clock
):
    async def disturb(system, nursery):
        await trio.sleep(2)
        for gateway in system.gateways[:20]:
            gateway.channel = None
        await trio.sleep(2)
        for number in range(20, 40):
            old = system.gateways[number]
            old.channel = None
            new = Gateway(old.name, 2, "a", 7 * number, system.entries)
            system.gateways[number] = new
            new.versions.apply_states(system.machine.rollouts.states)
            system.connect(new, nursery)

    system = await play(3, behave, disturb)
    expected = SUCCEEDED if behave is be_good else ROLLED_BACK
    assert system.phases[-1][0] is expected
    if expected is ROLLED_BACK:
        sends, allowed = count_exposure(system)
        assert sends <= allowed


async def test_resent_order_changes_nothing(autojump_clock):
    """A command is resent for 6 s, also when its rollout is already rolled back."""
    system = System(1, be_failing(1.0))

    async def run(system, nursery):
        first = await system.order()
        for _ in range(6):
            await trio.sleep(1)
            reply = await system.order()
            assert reply.accepted
            assert reply.state.number == first.state.number
        assert reply.state.phase is ROLLED_BACK
        assert reply.state.excluded == ("v2",)

    await system.run(run)


async def test_other_order_is_refused_only_while_one_is_in_progress(autojump_clock):
    system = System(1, be_failing(1.0))

    async def run(system, nursery):
        await system.order()
        assert not (await system.order(target="v3")).accepted
        await trio.sleep(8)
        reply = await system.order(target="v3")
        assert reply.accepted
        assert reply.state.excluded == ("v2",)

    await system.run(run)
