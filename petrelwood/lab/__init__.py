"""Days and experiments: plays a scripted day with real processes on loopback."""
