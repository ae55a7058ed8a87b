"""Encoding and decoding of MQTT 5 packets (OASIS standard, version 5.0) for clients and brokers, without I/O."""
