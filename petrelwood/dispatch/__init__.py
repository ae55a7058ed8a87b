"""The running dispatcher: one decision module on one event loop, whose decisions it carries out."""
