"""Announcing service addresses by BGP: neighbours, a routing table, and a dispatcher's service health."""
