"""The stores: hosts that store the bytes of turns."""

from __future__ import annotations

from catkinpin.codec import Message


class Store(Message, frozen=True):
    """A host that stores the bytes of turns.

    Attributes:
        node: its identity, new for each new data folder.
        name: name of its host, used by operators.
        address: peer address.
        retiring: whether it is being emptied before it is removed.
    """

    node: str
    name: str
    address: str
    domain: str
    region: str
    retiring: bool = False


class Register(Message, frozen=True):
    """Adds a store, or updates its name and address."""

    store: Store


class Retire(Message, frozen=True):
    """Marks a store as one to be emptied, on behalf of an operator."""

    name: str


class Stores:
    """All known stores.

    Attributes:
        by_node: the stores, by identity.
    """

    def __init__(self) -> None:
        self.by_node: dict[str, Store] = {}

    def would_change(self, store: Store) -> bool:
        """Returns whether registering a store changes anything."""
        known = self.by_node.get(store.node)
        if known is None:
            return True
        return (known.name, known.address) != (store.name, store.address)

    def register(self, store: Store) -> None:
        """Adds a store; removes others with the same name or address.

        The same host with a new identity has lost its disk.
        """
        if not self.would_change(store):
            return
        for node, other in list(self.by_node.items()):
            is_same_host = (
                other.name == store.name or other.address == store.address
            )
            if is_same_host and node != store.node:
                del self.by_node[node]
        self.by_node[store.node] = store

    def retire(self, name: str) -> None:
        """Marks a store as one to be emptied; ignores unknown names."""
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
        """Returns the store with a host name, None if there is none."""
        for store in self.by_node.values():
            if store.name == name:
                return store
        return None

    def count_without(self, name: str) -> int:
        """Returns how many stores remain without `name` and retiring ones."""
        others = [s for s in self.by_node.values() if s.name != name]
        return sum(not store.retiring for store in others)
