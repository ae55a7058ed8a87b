"""A dispatcher on the operators' platform: connects the dispatch core to the protocols of the platform."""
