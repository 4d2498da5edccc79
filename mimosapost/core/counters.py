"""Names and help texts of the counters that the reducer increments."""

from __future__ import annotations

__all__ = ["COUNTERS"]

CONFIG_ACCEPTED = "mimosapost_config_accepted_total"
QUERIES_FORWARDED = "mimosapost_queries_forwarded_total"
QUERIES_REPLANNED = "mimosapost_queries_replanned_total"
SENDS_HEDGED = "mimosapost_sends_hedged_total"
SENDS_RETRIED = "mimosapost_sends_retried_total"
SENDS_WASTED = "mimosapost_sends_wasted_total"
SERVER_CRASHES = "mimosapost_server_crashes_total"

#: Help text of each counter; no counter has labels.
COUNTERS: dict[str, str] = {
    CONFIG_ACCEPTED: "Subtrees put in force.",
    QUERIES_FORWARDED: "Queries forwarded to the issuer of their ticket.",
    QUERIES_REPLANNED: "Queries planned again at a newer snapshot.",
    SENDS_HEDGED: "Hedges: second and third sends to a leaf that had not answered.",
    SENDS_RETRIED: "Sends to a leaf after a failed send.",
    SENDS_WASTED: "Answers that came after their leaf was covered or their query ended.",
    SERVER_CRASHES: "Servers that broke their connections with requests in flight.",
}
