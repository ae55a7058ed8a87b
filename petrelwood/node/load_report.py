"""Load reports of workers, from the platform's field names to the decision module's."""

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
"""The decision module's name of each field; the settings of a site choose among the platform's names."""


def load_report(gauge: dict[str, float] | None) -> dict[str, float] | None:
    """Return a load report under the module's field names; what is None or empty stays so.

    Fields that the module does not know are dropped.
    """
    if not gauge:
        return gauge
    return {MODULE_FIELDS[name]: value for name, value in gauge.items() if name in MODULE_FIELDS}
