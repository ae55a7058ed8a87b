"""Encodes and decodes messages of published protocols; no I/O, and independent of the rest of the program."""
