"""A dispatcher on the platform of its operators: their protocols as one more way in and out of the core."""
