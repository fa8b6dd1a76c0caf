"""Connections of the agent to the agents of other hosts."""

from egretmill.wire import PeerClient
from egretmill.wire.messages import HostRecord

__all__ = ('PeerLinks',)


class PeerLinks:
    """One connection per host, replaced when the host's address changes."""

    def __init__(self) -> None:
        """Start without connections."""
        self.links: dict[str, tuple[str, int, PeerClient]] = {}

    def link_to(self, host: HostRecord) -> PeerClient:
        """Return the connection to a host."""
        existing = self.links.get(host.name)
        endpoint = (host.address, host.agent_port)
        if existing is not None and existing[:2] == endpoint:
            return existing[2]
        if existing is not None:
            existing[2].close()
        link = PeerClient(*endpoint)
        self.links[host.name] = (*endpoint, link)
        return link

    def close(self) -> None:
        """Close all connections."""
        for _address, _port, link in self.links.values():
            link.close()
        self.links.clear()
