"""Measure bytes and processor time of the questions for permissions, in process.

Each gateway asks for its accounts twice a second, one request and one extension for
each account. Codec and decisions are measured, sockets are not.
"""

import time

from wisteriaworks import codec
from wisteriaworks.generated.document import Account
from wisteriaworks.generated.settings import QuotaSettings
from wisteriaworks.quotas.gate import TOP_UP_INTERVAL_S
from wisteriaworks.quotas.leader import LeaderQuotas
from wisteriaworks.quotas.tokens import GatewayTokens

# Gateways, accounts, and accounts that a gateway gets requests of.
SIZES = ((94, 87, 2), (3_700, 10_000, 2), (3_700, 10_000, 20), (3_700, 10_000, 50))
PERIODS = 8


def measure(gateways, accounts, used):
    """Print the cost of a message and of a second."""
    names = [f"ralo{n:05}" for n in range(accounts)]
    limits = {name: Account(rate_per_s=50.0, burst=50.0) for name in names}
    leader = LeaderQuotas(QuotaSettings(), 1, 0.0)
    at_gateway_s = at_leader_s = 0.0
    messages = sent = received = 0
    tokens = [GatewayTokens(f"gateway-{n}", 0.0) for n in range(gateways)]
    for period in range(PERIODS):
        for number, gateway in enumerate(tokens):
            now = 10.0 + (period + number / gateways) * TOP_UP_INTERVAL_S
            own = [names[(number * 7 + n * 31) % accounts] for n in range(used)]
            began = time.process_time()
            for name in own:
                gateway.take(name, now)
            request = gateway.make_request(now)
            if request is None:
                continue
            data = codec.encode(request)
            at_gateway_s += time.process_time() - began
            began = time.process_time()
            reply = codec.encode(leader.decide(codec.decode(data), limits, now))
            at_leader_s += time.process_time() - began
            began = time.process_time()
            gateway.apply_reply(request, codec.decode(reply), now, now)
            at_gateway_s += time.process_time() - began
            messages, sent = messages + 1, sent + len(data)
            received += len(reply)
    period_s = PERIODS * TOP_UP_INTERVAL_S
    both = (sent + received) / period_s / gateways
    print(
        f"{gateways} gateways, {used} accounts each: {messages} messages,"
        f" {sent / messages:.0f} + {received / messages:.0f} bytes,"
        f" gateway {at_gateway_s / messages * 1e6:.0f} us,"
        f" leader {at_leader_s / messages * 1e6:.0f} us per message;"
        f" {both:.0f} bytes/s per gateway, leader"
        f" {at_leader_s / period_s * 100:.1f}% of a core"
    )


if __name__ == "__main__":
    for size in SIZES:
        measure(*size)
