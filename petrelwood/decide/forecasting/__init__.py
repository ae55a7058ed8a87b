"""Forecasts of calls, and what is loaded ahead because of them."""
