"""Forecasts of calls, and the early loads that are planned from them."""
