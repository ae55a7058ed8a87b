"""The running dispatcher: one module, one loop; it carries out what is decided elsewhere."""
