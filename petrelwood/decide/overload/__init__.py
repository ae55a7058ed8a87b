"""What is taken, held or turned away under load: limits, deadlines, back-off and storm detection."""
