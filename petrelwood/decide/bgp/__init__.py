"""Service addresses announced by BGP: neighbours, the routing table, whether a dispatcher can serve."""
