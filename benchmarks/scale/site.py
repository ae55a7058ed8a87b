"""Makes the emulator's script and the settings of the site of a scale run from a few sizes."""

from typing import NamedTuple

from benchmarks.scale import size
from petrelwood.emulate import script
from petrelwood.emulate.platform import KEY
from petrelwood.settings import gateway as settings

SCRIPT = """
day "{name}" {{
    length "{seconds}s"
    settle "{settle}s"
    rate {calls_a_second}
    dispatchers {dispatchers}
    halls {zones}
    roster-late "1s"
}}
fleet {{ workers {workers}; cores 8; memory "40GB"; loads 4; queue 60; thrash 0.02; start-share 0.5 }}
store {{ pace "600GB"; takes 480; thrash 0.0 }}
functions "f-" type="call" count={functions} part=1.0 zipf=0.9 work="{work}ms" lanes=4 \\
    size="80MB" load-time="300ms"
client "caller" part=1.0 retries=1
{troubles}
terms {{
    namespace-type "call" {{ target-latency "1s"; action-timeout "4s"; effect "repeatable" }}
    function "f-*" type="call" lanes=4 load-time="300ms"
    workers {{
        cold "15s" from=0.2
        fall "1.5s" multiple=2.5
        sends 3 overlap=#true
        keep "60s"
        on-miss "load"
        cancel #true
        probe #true
        drain-grace "500ms"
        connect-within "250ms"
        most-retry-after "4s"
        ration free=4 part=0.2 period="10s"
    }}
}}
"""


class SiteSize(NamedTuple):
    """The sizes of a hollow site."""

    dispatchers: int
    workers: int
    functions: int
    calls_a_second: float  # over all dispatchers
    seconds: int  # of virtual time
    settle: int = 5


def zones():
    """Return the names of the zones; the first half of them forms the first region."""
    return tuple(f"zone-{number + 1}" for number in range(size.ZONES))


def day(site, troubles=(), name="scale"):
    """Return the emulator's day for a `SiteSize`; `troubles` are additional lines of its script."""
    text = SCRIPT.format(
        name=name,
        zones=" ".join(f'"{zone}"' for zone in zones()),
        work=round(size.ASSUMED_CALL_WORK * 1000),
        troubles="\n".join(troubles),
        **site._asdict(),
    )
    return script.read("scale.kdl", text)


def gateway(dispatchers=size.DISPATCHERS):
    """Return the settings of one dispatcher of a site with this number of dispatchers."""
    described = day(SiteSize(dispatchers, 1, 1, 1.0, 1))
    text = script.gateway_text(described, "d1", 1, "127.0.0.1:1", "127.0.0.1:1", {"caller": [KEY]}, 1)
    return settings.read("scale", text)
