"""Tests for which services the decisions for contended capacity are made."""

from __future__ import annotations

import testtools

from catkinpin.core.placement.contention import ContendedServices
from catkinpin.core.requests.calls import Load


class ContendedServicesTest(testtools.TestCase):
    """Settings and load reports."""

    def test_load_without_slowdown_changes_nothing(self) -> None:
        """Guards against new decisions in deployments that ask for none."""
        services = ContendedServices(configured=False)
        services.record_load("models", Load(8, 4, 8))
        self.assertFalse(services.is_contended("models"))

    def test_slowdown_concerns_its_own_service_only(self) -> None:
        """Guards against new decisions for a service with stable servers."""
        services = ContendedServices(configured=False)
        services.record_load("models", Load(1, 0, 8, slowdown=1.0))
        self.assertTrue(services.is_contended("models"))
        self.assertFalse(services.is_contended("tools"))

    def test_setting_concerns_all_services(self) -> None:
        """Guards against a setting that only some decisions follow."""
        self.assertTrue(
            ContendedServices(configured=True).is_contended("models")
        )
