"""Load reports of workers: translates the platform's field names to those of the decision module."""

MODULE_FIELDS = {
    "concurrent": "running",
    "depth": "waiting",
    "load_share": "cores",
    "x0": "pinned",
    "x1": "loads",
    "inflight": "running",
    "queue": "waiting",
    "util": "cores",
}
"""The decision module's name of each field. Each site sets which of the platform's names it uses."""


def load_report(gauge: dict[str, float] | None) -> dict[str, float] | None:
    """Return a load report with the module's field names; return None and an empty report unchanged.

    Fields unknown to the module are dropped.
    """
    if not gauge:
        return gauge
    return {MODULE_FIELDS[name]: value for name, value in gauge.items() if name in MODULE_FIELDS}
