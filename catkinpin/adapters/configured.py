"""The configuration that an entry serves under."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import configuration, metrics

if TYPE_CHECKING:
    from catkinpin.core import changes


class Configured:
    """The newest configuration this process has been sent.

    Attributes:
        configuration: None until the first one has come.
        accounts: account by the digest of its key.
    """

    def __init__(self) -> None:
        self.configuration: configuration.Configuration | None = None
        self.revision = 0
        self.content = b""
        self.accounts: dict[str, str] = {}

    def take(self, update: changes.ConfigUpdate) -> int:
        """Serves under `update`; returns its revision, 0 if it is not newer.

        A replica that lags may send an older revision than another sent
        before; going back would let a withdrawn key or budget work again.
        """
        if update.revision <= self.revision:
            return 0
        cfg = configuration.parse(update.content)
        self.configuration = cfg
        self.revision = update.revision
        self.content = update.content
        self.accounts = {a.key_sha256: a.name for a in cfg.accounts}
        metrics.REVISION.set(update.revision)
        return update.revision
