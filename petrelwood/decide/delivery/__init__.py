"""Exactly one answer for each activation: pending ones, send outcomes, the ledger of ids, recovery."""
