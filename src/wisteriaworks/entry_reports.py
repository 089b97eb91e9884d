"""Read JSON reports from the admin addresses of entries."""

from dataclasses import dataclass

import httpcore
import msgspec
import trio

REQUEST_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class EntryReply:
    """Represent an entry's report, or the reason why it could not be read.

    ``report`` and ``problem`` are empty if the entry has no such report.
    """

    address: str
    report: msgspec.Struct | None = None
    problem: str = ""


async def read_reports(addresses, path, report_type):
    """Return one reply per address, in order; decode reports as ``report_type``."""
    replies = {}
    async with httpcore.AsyncConnectionPool() as pool, trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(_read_report, pool, address, path, report_type, replies)
    return [replies[address] for address in addresses]


async def _read_report(pool, address, path, report_type, replies):
    try:
        with trio.fail_after(REQUEST_TIMEOUT_S):
            response = await pool.request("GET", f"http://{address}{path}")
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
        replies[address] = EntryReply(address, problem="no answer")
    except trio.TooSlowError:
        problem = f"no answer within {REQUEST_TIMEOUT_S:g} s"
        replies[address] = EntryReply(address, problem=problem)
    else:
        replies[address] = _decode_reply(address, response, report_type)


def _decode_reply(address, response, report_type):
    match response.status:
        case 200:
            try:
                report = msgspec.json.decode(response.content, type=report_type)
            except msgspec.MsgspecError as exc:
                return EntryReply(address, problem=f"unreadable report: {exc}")
            return EntryReply(address, report)
        case 404:
            return EntryReply(address)
    return EntryReply(address, problem=f"HTTP status {response.status}")
