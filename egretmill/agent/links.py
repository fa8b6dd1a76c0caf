"""Connections of the agent to the agents of other hosts."""

from egretmill.wire import PeerClient
from egretmill.wire.messages import HostRecord

__all__ = ('PeerLinks',)


class PeerLinks:
    """One link per host, replaced when the host has a new address."""

    def __init__(self) -> None:
        """Start without links."""
        self.links: dict[str, tuple[str, int, PeerClient]] = {}

    def to(self, host: HostRecord) -> PeerClient:
        """Return the link to a host."""
        known = self.links.get(host.name)
        place = (host.address, host.agent_port)
        if known is not None and known[:2] == place:
            return known[2]
        if known is not None:
            known[2].close()
        link = PeerClient(*place)
        self.links[host.name] = (*place, link)
        return link

    def close(self) -> None:
        """Close all links."""
        for _address, _port, link in self.links.values():
            link.close()
        self.links.clear()
