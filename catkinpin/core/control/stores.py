"""Hosts that hold turns' bytes: which there are, and which are to go."""

from __future__ import annotations

from catkinpin.codec import Message


class Store(Message, frozen=True):
    """A store.

    Attributes:
        node: its identity, new for each new data folder.
        name: of its host, by which operators know it.
        address: peer address.
        retiring: whether it is to be emptied and taken away.
    """

    node: str
    name: str
    address: str
    domain: str
    region: str
    retiring: bool = False


class Register(Message, frozen=True):
    """A store says where it is."""

    store: Store


class Retire(Message, frozen=True):
    """An operator has a store emptied."""

    name: str


class Stores:
    """All stores that are known, by identity."""

    def __init__(self) -> None:
        self.by_node: dict[str, Store] = {}

    def would_change(self, store: Store) -> bool:
        """Returns whether registering changes anything."""
        known = self.by_node.get(store.node)
        if known is None:
            return True
        return (known.name, known.address) != (store.name, store.address)

    def register(self, store: Store) -> None:
        """Takes a store; an older one of that name or place lost its disk."""
        if not self.would_change(store):
            return
        for node, other in list(self.by_node.items()):
            same = other.name == store.name or other.address == store.address
            if same and node != store.node:
                del self.by_node[node]
        self.by_node[store.node] = store

    def retire(self, name: str) -> None:
        """Marks a store as one to be emptied."""
        store = self.find(name)
        if store is not None:
            self.by_node[store.node] = Store(
                node=store.node,
                name=store.name,
                address=store.address,
                domain=store.domain,
                region=store.region,
                retiring=True,
            )

    def find(self, name: str) -> Store | None:
        """Returns a store by its host's name."""
        for store in self.by_node.values():
            if store.name == name:
                return store
        return None

    def count_without(self, name: str) -> int:
        """Returns how many stores would be left once `name` is gone."""
        others = [s for s in self.by_node.values() if s.name != name]
        return sum(not store.retiring for store in others)
