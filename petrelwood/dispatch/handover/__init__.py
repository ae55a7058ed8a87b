"""Hand-over of a dispatcher from a running process to its successor, without a gap in service."""
