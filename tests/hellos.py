"""Hello messages that tests send as another process."""

from __future__ import annotations

from catkinpin.core import messages

GATEWAY_HELLO = messages.Hello(
    process="test",
    incarnation="1",
    role="gateway",
    address="",
    domain="a",
    region="a",
)
