"""Hand-over of a dispatcher from a running process to the one that replaces it, without a gap in service."""
