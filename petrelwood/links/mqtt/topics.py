"""Topic names and topic filters (section 4.7)."""

SHARE_PREFIX = "$share/"
ONE_LEVEL = "+"  # matches one level
ALL_LEVELS = "#"  # matches all levels that follow
WILDCARDS = frozenset("+#")
NOT_IN_NAMES = WILDCARDS | {"\0"}


def is_topic_name(topic: str) -> bool:
    """Return whether this is a valid topic name: not empty, without wildcards or NUL."""
    return bool(topic) and NOT_IN_NAMES.isdisjoint(topic)


def is_topic_filter(topic_filter: str) -> bool:
    """Return whether this is a valid topic filter, including filters of shared subscriptions."""
    if topic_filter.startswith(SHARE_PREFIX):
        group, _, topic_filter = topic_filter.removeprefix(SHARE_PREFIX).partition("/")
        if not group or not WILDCARDS.isdisjoint(group):
            return False
    levels = topic_filter.split("/")
    return bool(topic_filter) and ALL_LEVELS not in levels[:-1] and all(map(_is_level, levels))


def _is_level(level: str) -> bool:
    return level in WILDCARDS or WILDCARDS.isdisjoint(level)


def matches(topic_filter: str, topic: str) -> bool:
    """Return whether a topic matches a topic filter, which is given without the prefix of a share."""
    if topic.startswith("$") and topic_filter[:1] in WILDCARDS:
        return False
    levels = topic.split("/")
    wanted = topic_filter.split("/")
    for position, level in enumerate(wanted):
        if level == ALL_LEVELS:
            return True
        if position >= len(levels) or level not in (ONE_LEVEL, levels[position]):
            return False
    return len(wanted) == len(levels)
