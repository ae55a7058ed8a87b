"""The speaker: announces service addresses to routers over BGP-4 while the local dispatcher can serve."""
