"""Prometheus metrics of all processes."""

from __future__ import annotations

from catkinpin import collectors
from catkinpin.collectors import Counter, Gauge, Histogram

_LATENCY_BUCKETS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120,
)  # fmt: skip

CALLS = Counter(
    "catkinpin_calls_total", "Calls answered to callers.", ["kind", "verdict"]
)
REFUSALS = Counter(
    "catkinpin_refusals_total", "Calls refused or failed.", ["reason"]
)
ATTEMPTS = Counter(
    "catkinpin_attempts_total", "Dispatches to servers.", ["verdict"]
)
FIRST_TOKEN_SECONDS = Histogram(
    "catkinpin_first_token_seconds",
    "From a call's arrival to its first event.",
    buckets=_LATENCY_BUCKETS,
)
CALL_SECONDS = Histogram(
    "catkinpin_call_seconds",
    "From a call's arrival to its last byte.",
    buckets=_LATENCY_BUCKETS,
)
CONNECTIONS_OPENED = Counter(
    "catkinpin_connections_opened_total",
    "Connections opened to servers, by why no idle one was used.",
    ["reason"],
)
CONNECTIONS_REUSED = Counter(
    "catkinpin_connections_reused_total",
    "Requests for which an idle connection was used.",
)
PLACED_TURNS = Counter(
    "catkinpin_placed_turns_total",
    "Turns of contended services that the leader placed, by whether the asking"
    " gateway used the server lately.",
    ["connection"],
)
SUBSET_CHOICES = Counter(
    "catkinpin_subset_choices_total",
    "Choices of a contended application server, by whether all servers or only"
    " the gateway's subset were compared.",
    ["servers"],
)
CALLS_IN_FLIGHT = Gauge("catkinpin_calls_in_flight", "Calls not yet answered.")
CONFIGURATION_REVISION = Gauge(
    "catkinpin_configuration_revision", "Revision this process serves under."
)
DROPPED_ANSWERS = Counter(
    "catkinpin_dropped_answers_total",
    "Answers dropped since they belong to another attempt.",
)
PEER_BYTES = Counter(
    "catkinpin_peer_bytes_total",
    "Bytes sent to other processes, before compression.",
    ["link", "kind"],
)
PEER_WIRE_BYTES = Counter(
    "catkinpin_peer_wire_bytes_total",
    "Bytes sent to other processes, as they go out.",
    ["link"],
)
RETIRED_CONNECTIONS = Counter(
    "catkinpin_retired_connections_total",
    "Connections given up since they had gone silent.",
    ["kind"],
)
RELAY_CACHE_RESULTS = Counter(
    "catkinpin_relay_cache_total",
    "Requests relayed with new messages only, by whether the rest was held.",
    ["result"],
)
IS_GROUP_LEADER = Gauge(
    "catkinpin_group_leads", "Whether this replica leads a group.", ["group"]
)
FOUNDING_WAITS = Gauge(
    "catkinpin_founding_waits",
    "Seeds for which the founding of the system waits here.",
    ["seed"],
)
QUOTA_USED_SHARE = Gauge(
    "catkinpin_quota_used_share",
    "Part of its quota that an account used in the last window, by the leader;"
    " the accounts that used most.",
    ["account"],
)
QUOTA_ACCOUNTS = Gauge(
    "catkinpin_quota_accounts", "Accounts in use that have a quota."
)
PREVENTED_EJECTIONS = Counter(
    "catkinpin_prevented_ejections_total",
    "Servers with overdue calls that were not ejected, as they answered later"
    " ones; by who decided, a gateway or the leader.",
    ["by"],
)
SLOWDOWN_REPORTS = Counter(
    "catkinpin_slowdown_reports_total",
    "Slowdowns of model servers that reached the leader, by whether they were"
    " used.",
    ["result"],
)
HEDGES = Counter(
    "catkinpin_hedges_total",
    "Second attempts of plain calls: won, lost, failed, or denied by the"
    " budget.",
    ["result"],
)
DENIED_RETRIES = Counter(
    "catkinpin_denied_retries_total",
    "Retries of plain calls that the retry budget denied.",
    [],
)
ADMISSIONS = Counter(
    "catkinpin_admissions_total",
    "New programs that the leader admitted or refused, by reason.",
    ["reason"],
)
FEED_CHANGES = Counter(
    "catkinpin_feed_changes_total",
    "Changes of the keeper whose feed a gateway subscribes to.",
    ["reason"],
)
FEED_SUBSCRIPTIONS = Counter(
    "catkinpin_feed_subscriptions_total",
    "Subscriptions that began or ended at a keeper.",
    ["active"],
)
FEED_SUBSCRIBERS = Gauge(
    "catkinpin_feed_subscribers", "Gateways subscribed to a keeper's feed."
)
FEED_OUTDATED = Counter(
    "catkinpin_feed_outdated_total",
    "Lists of servers that a gateway ignored since it held a newer state.",
)
SERVER_BREAKS = Counter(
    "catkinpin_server_breaks_total",
    "Requests that a server broke off, by whether it still accepted connections"
    " afterwards.",
    ["result"],
)
LOST_HOSTS = Gauge(
    "catkinpin_lost_hosts",
    "Keepers and stores that this process has not reached for 30 s.",
)
RESUMED_TURNS = Counter(
    "catkinpin_resumed_turns_total",
    "Turns that callers resumed, by whether what they have was found.",
    ["result"],
)
STORED_TURNS = Counter(
    "catkinpin_stored_turns_total",
    "Turns stored by this gateway, by the number of failure domains that hold"
    " copies.",
    ["domains"],
)
UNKEPT_LOSSES = Gauge(
    "catkinpin_unkept_losses",
    "Kinds of losses that the settings tolerate and that the hosts' number or"
    " places don't allow to survive, by what is lost with them; by the leader.",
    ["of", "loss"],
)
QUARANTINED_CONTENTS = Gauge(
    "catkinpin_quarantined_contents",
    "Contents of requests that no server may get, as known to this process.",
)
LOG_SYNCS = Counter("catkinpin_log_syncs_total", "Syncs of the log.", [])
LOG_RECORDS = Counter("catkinpin_log_records_total", "Records logged.", [])


def exposition() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return collectors.exposition()
