"""Checks that `docs/CAPACITY.md` has every role and event, and a verdict in each row of its first table."""

import pathlib
import re
import unittest

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"
VERDICTS = ("carried up to ", "carried", "missing", "not measured")
MEASURES = pathlib.Path(__file__).parents[1] / "benchmarks" / "capacity.py"


def section(text, title):
    """Return the text under a heading, up to the next heading of the same or a higher level."""
    level = title.split(" ")[0]
    after = text.split(f"\n{title}", 1)[1]
    return re.split(rf"\n#{{2,{len(level)}}} ", after, maxsplit=1)[0]


def rows(text):
    """Return the cells of each table row in a text, without header rows and separators."""
    found, head = [], True
    for line in text.splitlines():
        if not line.startswith("|"):
            head = True
            continue
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if head or set(cells[0]) <= set("-: "):
            head = False
            continue
        found.append(cells)
    return found


class Page(unittest.TestCase):
    def setUp(self):
        self.text = PAGE.read_text(encoding="utf-8")

    def test_each_row_by_role_has_all_columns_and_ends_with_a_verdict(self):
        listed = rows(section(self.text, "## Table 1"))
        self.assertGreater(len(listed), 20)
        for cells in listed:
            self.assertEqual(len(cells), 7, cells[0])
            self.assertTrue(cells[-1].startswith(VERDICTS), f"{cells[0]}: {cells[-1]}")

    def test_each_role_has_rows(self):
        named = section(self.text, "## Table 1").lower()
        for role in (
            "dispatcher, data path",
            "dispatcher, control",
            "| worker",
            "| roster",
            "| distribution of configuration",
            "| machines set aside for control",
            "| callers' side",
        ):
            self.assertIn(role, named)

    def test_each_event_has_a_row_with_all_columns(self):
        listed = rows(section(self.text, "## Table 2"))
        for cells in listed:
            self.assertEqual(len(cells), 6, cells[0])
        told = " ".join(cells[0] for cells in listed)
        for event in (
            "ordinary day",
            "rolling restart",
            "rack",
            "switch",
            "a zone",
            "other region",
            "740 versions",
            "all 400 dispatchers",
            "one by one",
            "all five",
        ):
            self.assertIn(event, told)

    def test_each_measurement_that_the_page_names_exists(self):
        script = MEASURES.read_text(encoding="utf-8")
        for name in set(re.findall(r"\[([a-z]+)\](?!\()", self.text)) - {"scale"}:
            self.assertIn(f'"{name}": ', script)

    def test_lines_outside_tables_are_short(self):
        for line in self.text.splitlines():
            if not line.startswith("|"):
                self.assertLessEqual(len(line), 110, line)


if __name__ == "__main__":
    unittest.main()
