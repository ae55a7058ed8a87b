"""Codec for MQTT 5 packets (OASIS standard, version 5.0) for both clients and brokers, without I/O."""
