"""MQTT 5 packets (OASIS standard, version 5.0) to bytes and back, for both ends, free of I/O."""
