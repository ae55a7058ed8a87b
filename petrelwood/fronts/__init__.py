"""How activations come in: protocol names end here."""
