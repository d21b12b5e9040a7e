"""Reports which tolerated losses the hosts' places don't allow to survive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import decisions, metrics

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from catkinpin.clock import Clock
    from catkinpin.core.tolerance import Loss


class UnkeptLosses:
    """Logs each change of what can't be survived, and shows it as a metric.

    Args:
        clock: the time source.
        find_by_kind: returns the kinds of losses that can't be survived, for
            each kind of what is durable.
        delay_ms: time after which a loss counts that can't be survived, as
            hosts may still be starting or come back.
    """

    def __init__(
        self,
        clock: Clock,
        find_by_kind: Mapping[str, Callable[[], list[Loss]]],
        delay_ms: int,
    ) -> None:
        self._clock = clock
        self._find_by_kind = find_by_kind
        self._delay_ms = delay_ms
        # By kind of what is durable, and by loss: since when.
        self._since_ms: dict[tuple[str, Loss], int] = {}
        self._reported: set[tuple[str, Loss]] = set()

    def update(self) -> None:
        """Looks for changes; only the leader may call it."""
        now_ms = self._clock.now_ms()
        unkept = {
            (kind, loss)
            for kind, find in self._find_by_kind.items()
            for loss in find()
        }
        self._since_ms = {
            key: self._since_ms.get(key, now_ms) for key in sorted(unkept)
        }
        for key, since_ms in self._since_ms.items():
            is_lasting = now_ms - since_ms >= self._delay_ms
            if is_lasting and key not in self._reported:
                self._report(key, is_kept=False)
        for key in sorted(self._reported - unkept):
            self._report(key, is_kept=True)

    def reset(self) -> None:
        """Forgets what was found, as another keeper may lead."""
        self._since_ms = {}
        self._reported = set()
        metrics.UNKEPT_LOSSES.clear()

    def _report(self, key: tuple[str, Loss], *, is_kept: bool) -> None:
        kind, loss = key
        if is_kept:
            self._reported.remove(key)
        else:
            self._reported.add(key)
        metrics.UNKEPT_LOSSES.labels(kind, loss.value).set(int(not is_kept))
        decisions.note(
            "tolerance",
            "",
            of=kind,
            loss=loss.value,
            outcome="kept" if is_kept else "more hosts or places are needed",
        )
