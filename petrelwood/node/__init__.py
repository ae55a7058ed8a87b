"""The dispatcher on the platform of its operators: their protocol as one more way in and out of the same
core."""
