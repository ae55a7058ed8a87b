"""Decodes the terms of the decision module from the settings that the simulator and the platform share.

Times in the settings are in microseconds.
"""

from petrelwood import ports
from petrelwood.node.json_object import ConfigurationError, JsonObject

EFFECTS = {
    "repeatable": ports.Effect.REPEATABLE,
    "by_key": ports.Effect.DEDUPLICATED,
    "once": ports.Effect.ONCE_ONLY,
}
SCOPES = tuple(ports.Scope)
MEMBERSHIP_MODES = ("push", "ask")  # the endpoint list is pushed or polled
REPORT_MODES = (
    "piggyback",
    "pull",
    "silent",
)  # load reports come with answers, with health checks, or not at all


def _namespace_types(settings: JsonObject) -> dict[str, ports.NamespaceType]:
    types = {
        each.text("name"): ports.NamespaceType(
            each.time("slo", least=1),
            EFFECTS[each.choice("effect", EFFECTS)],
            ports.Scope(each.choice("keyScope", SCOPES, ports.Scope.ALL)),
            each.time("window", 0),
            each.number("aimStretch", 0),
            each.time("deadline", 0),
        )
        for each in settings.members("classes")
    }
    if not types:
        raise ConfigurationError("settings.classes must hold one at least")
    return types


def _quotas(settings: JsonObject) -> dict[str, float]:
    tenants = settings.members("tenants", [])
    return {
        each.text("name"): each.number("quotaRps") for each in tenants if each.raw.get("quotaRps") is not None
    }


def _guarantees(guarantees: JsonObject, polls_list: bool) -> ports.Guarantees:
    return ports.Guarantees(
        guarantees.time("askWithin", None if polls_list else 0),
        guarantees.time("cold"),
        guarantees.number("startCapacity"),
        guarantees.number("fallMultiple"),
        guarantees.time("fall"),
    )


def _load_orders(family: JsonObject) -> ports.LoadOrders:
    return ports.LoadOrders(
        family.flag("mayOrder"),
        family.choice("onMiss", ("load", "miss"), "load") == "load",
        family.time("keep"),
        family.number("freeLoads", 0),
        family.number("loadPart", 0),
        family.time("loadPeriod", 0),
    )


def _allowed(permissions: JsonObject) -> ports.Allowed:
    return ports.Allowed(
        int(permissions.number("maxAttempts", least=1)),
        permissions.flag("secondCopies"),
        permissions.flag("cancelling"),
        permissions.flag("probes"),
        permissions.flag("retryAfter"),
        permissions.time("maxRetryAfter", 0),
    )


def module_terms(raw: object) -> ports.Terms:
    """Return the terms of the decision module in a settings object.

    Raises:
        ConfigurationError: a value is missing or malformed.
    """
    settings = JsonObject(raw, "settings")
    family = settings.member("familyInfo")
    guarantees = settings.member("guarantees")
    permissions = settings.member("permissions")
    fees = settings.member("fees", {})
    types = _namespace_types(settings)
    polls_list = settings.choice("membershipMode", MEMBERSHIP_MODES, "push") == "ask"
    return ports.Terms(
        zone=settings.text("zone", ""),
        dispatchers=int(settings.number("balancers", least=1)),
        types=types,
        quotas=_quotas(settings),
        guarantees=_guarantees(guarantees, polls_list),
        orders=_load_orders(family),
        allowed=_allowed(permissions),
        must_request_list=polls_list,
        reports_by_probe=settings.member("loadInfo", {}).choice("how", REPORT_MODES, "silent") == "pull",
        tick=settings.time("tick", least=1),
        health_check_cost=fees.number("probe", 0),
        over_quota_utility=settings.number("overShareWorth", 0),
    )
