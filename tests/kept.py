"""Compares a short printed trace with the one that is kept in tests/traces/ and read by people."""

import difflib
import pathlib

KEPT = pathlib.Path(__file__).with_name("traces")


def compare(test, name, lines):
    found = [line.rstrip() for line in lines]
    kept = (KEPT / f"{name}.txt").read_text().splitlines()
    test.assertEqual(
        kept, found, "\n" + "\n".join(difflib.unified_diff(kept, found, "kept", "found", "", ""))
    )
