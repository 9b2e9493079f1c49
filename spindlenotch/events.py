"""
Catalogue of numbered log events, and the function that logs them.

Every log line of the package is one of these events. A number is never reused
for another event. ``docs/EVENTS.md`` is generated from this table; a test
compares the two.
"""

import enum

import loguru
import msgspec


class CatalogueRow(msgspec.Struct, frozen=True):
    """
    One event in the catalogue.

    ``level`` is a loguru level; ``action`` says what an operator should do.
    """

    number: int
    level: str
    text: str
    action: str


class Event(enum.Enum):
    """
    All events, in the order of their numbers.

    1xx: the process, 2xx: documents and settings, 3xx: peers, 4xx: upstreams,
    5xx: request ids, 6xx: requests.
    """

    STARTED = CatalogueRow(101, "INFO", "process started", "none")
    READY = CatalogueRow(102, "INFO", "ready to serve", "none")
    LEAVING = CatalogueRow(103, "INFO", "graceful shutdown started", "none")
    STOPPED = CatalogueRow(104, "INFO", "process stopped", "none")
    PAUSE_DETECTED = CatalogueRow(
        105,
        "WARNING",
        "the process was paused; requests are refused until the bundle is confirmed",
        "if it repeats, check whether the host is overloaded or gets suspended",
    )
    BUNDLE_CONFIRMED = CatalogueRow(
        106, "INFO", "bundle confirmed after a pause", "none"
    )
    STOP_FORCED = CatalogueRow(
        107,
        "WARNING",
        "graceful shutdown reached its time limit with requests in flight",
        "raise the limit if uploads take longer (--drain-limit-s, --stop-limit-s)",
    )
    LOOP_FAILED = CatalogueRow(
        108, "ERROR", "a control loop failed and is restarted", "report the error"
    )
    HOST_SUSPENDED = CatalogueRow(
        109,
        "WARNING",
        "the host was suspended; requests whose deadlines passed meanwhile are ended",
        "find out what suspends the host",
    )
    LOOP_LATE = CatalogueRow(
        110,
        "WARNING",
        "the event loop was late; ran_s is the processor time used meanwhile",
        "if it used little of that time, find out what keeps it from running",
    )
    INTERNAL_ERROR = CatalogueRow(
        113,
        "ERROR",
        "recording the result of a request failed; the request is not affected",
        "report the error",
    )
    OVERLOADED = CatalogueRow(
        111,
        "WARNING",
        "too little processor time for all callers; some requests are refused",
        "if it lasts, find out what else uses the processors, or add hosts",
    )
    OVERLOAD_OVER = CatalogueRow(
        112, "INFO", "processor time suffices again; refused: requests", "none"
    )
    BUNDLE_APPLIED = CatalogueRow(201, "INFO", "a new bundle is in force", "none")
    BUNDLE_REFUSED = CatalogueRow(
        202,
        "ERROR",
        "a bundle was rejected",
        "check its signature and the trusted keys in the settings",
    )
    BUNDLE_FORKED = CatalogueRow(
        203,
        "ERROR",
        "two different bundles have the same version",
        "find out who distributed a bundle that the store did not accept",
    )
    STORE_LOST = CatalogueRow(
        204, "WARNING", "the store does not respond", "check the store's own alarms"
    )
    STORE_BACK = CatalogueRow(205, "INFO", "the store responds again", "none")
    HOSTS_APPLIED = CatalogueRow(206, "INFO", "a new host list is in force", "none")
    HOSTS_LOST = CatalogueRow(
        207,
        "WARNING",
        "the host list service does not respond",
        "check the platform's alarms",
    )
    HOSTS_BACK = CatalogueRow(
        208, "INFO", "the host list service responds again", "none"
    )
    CONFIGURATION_APPLIED = CatalogueRow(
        209, "INFO", "a new route configuration is in force", "none"
    )
    SOURCE_ITEM_REFUSED = CatalogueRow(
        210,
        "ERROR",
        "an item of the source is invalid; the previous one stays in force",
        "correct the item named in the line",
    )
    SETTINGS_RELOADED = CatalogueRow(
        211, "INFO", "the settings file was reloaded", "none"
    )
    SETTINGS_REFUSED = CatalogueRow(
        212,
        "ERROR",
        "the changed settings are invalid; the previous ones stay in force",
        "correct the setting named in the line",
    )
    PEER_ADDRESS_REGISTERED = CatalogueRow(
        213, "INFO", "a gateway registered its peer address in the source", "none"
    )
    ZONE_EVACUATED = CatalogueRow(
        214,
        "INFO",
        "a zone is evacuated: its upstreams receive no new requests",
        "cancel the evacuation when the zone is to be used again",
    )
    ZONE_RESTORED = CatalogueRow(
        215, "INFO", "the evacuation of a zone was cancelled", "none"
    )
    ROUTE_REFUSED = CatalogueRow(
        216,
        "ERROR",
        "a route cannot be served as configured; its requests are refused",
        "correct the route; the other routes are served",
    )
    CONFIGURATION_REMARK = CatalogueRow(
        217,
        "WARNING",
        "a part of the configuration was ignored or interpreted conservatively",
        "see the reason in the line; update the gateways if the format is newer",
    )
    UPSTREAMS_WITHDRAWN = CatalogueRow(
        218,
        "INFO",
        "an applied upstream list stops new requests to some upstreams",
        "none; if a gateway lags, compare revisions and times between gateways",
    )
    SOURCE_RESTORED = CatalogueRow(
        219,
        "WARNING",
        "the source was restored from a backup; its revisions may have decreased",
        "check the store's own alarms",
    )
    ROLLOUT_STARTED = CatalogueRow(
        220, "INFO", "a rollout of another version of a service started", "none"
    )
    ROLLOUT_PROMOTING = CatalogueRow(
        221,
        "INFO",
        "a rollout is promoted: all requests move to its target version",
        "none",
    )
    ROLLOUT_ROLLED_BACK = CatalogueRow(
        222,
        "WARNING",
        "a rollout was rolled back: its target version receives no more requests",
        "see the reason and the figures in the line; fix the version",
    )
    ROLLOUT_STATUS_WRITTEN = CatalogueRow(
        223, "INFO", "the status of a rollout was written to the source", "none"
    )
    ROLLOUT_STATUS_FAILED = CatalogueRow(
        224,
        "WARNING",
        "the status of a rollout could not be written; the write is retried",
        "check the store's own alarms; a conflict means that another gateway wrote it",
    )
    ROLLOUT_BLOCKED = CatalogueRow(
        225,
        "WARNING",
        "a rollout cannot be promoted or completed yet",
        "see the reason: start upstreams of the version, or find unreachable gateways",
    )
    ROLLOUT_ENDED = CatalogueRow(226, "INFO", "a rollout has its final status", "none")
    ROLLOUT_WITHDRAWN = CatalogueRow(
        227,
        "INFO",
        "a rollout was withdrawn; its target version receives no requests",
        "stop the upstreams of that version, or order the rollout again",
    )
    ROLLOUT_UNTESTED = CatalogueRow(
        228,
        "WARNING",
        "a version was promoted without a response on some routes",
        "monitor these routes; they have too few requests for a verdict",
    )
    ROLLOUT_DECIDER = CatalogueRow(
        229,
        "INFO",
        "this gateway became or ceased to be the decider of a rollout",
        "none",
    )
    ROLLOUT_PROMOTION_COUNTS = CatalogueRow(
        230,
        "INFO",
        "request counts of the target version when a rollout was promoted",
        "none",
    )
    PEER_GONE = CatalogueRow(
        301,
        "WARNING",
        "a peer stopped responding",
        "check the host unless it was stopped on purpose",
    )
    PEER_SEEN = CatalogueRow(302, "INFO", "a peer appeared or changed state", "none")
    PEER_DROPPED = CatalogueRow(
        303,
        "WARNING",
        "a peer message was dropped",
        "bad-code: compare the peer keys; otherwise find the sender",
    )
    REGION_LOST = CatalogueRow(
        304,
        "WARNING",
        "no messages arrive from another region; its callers are served by the others",
        "see OPERATIONS.md, a region is lost",
    )
    REGION_BACK = CatalogueRow(
        305, "INFO", "messages from another region arrive again", "none"
    )
    UPSTREAMS_UNREACHABLE = CatalogueRow(
        306,
        "WARNING",
        "no upstream responds to this gateway, or it can open no new connection to any;"
        " it hands requests to other gateways",
        "check the links between this host and the upstreams",
    )
    UPSTREAMS_REACHED = CatalogueRow(
        307, "INFO", "upstreams respond to this gateway again", "none"
    )
    LINKS_CHECKED = CatalogueRow(
        308,
        "INFO",
        "no upstream responded to a check of this host's links; connected: how many of"
        " those probed accepted a connection",
        "if it repeats, check the links between this host and the upstreams",
    )
    UPSTREAM_EJECTED = CatalogueRow(
        401, "WARNING", "an upstream was ejected", "check the upstream's host"
    )
    UPSTREAM_BACK = CatalogueRow(402, "INFO", "an upstream is in use again", "none")
    UPSTREAM_LEAVING = CatalogueRow(
        403, "INFO", "an upstream receives no new requests", "none"
    )
    FOREIGN_ANSWER = CatalogueRow(
        404,
        "ERROR",
        "an upstream response had the id of another request and was dropped",
        "the upstream mixes up its responses: remove it from the host list",
    )
    PROBE_LEASE_ACQUIRED = CatalogueRow(
        405, "INFO", "acquired the lease to probe a service", "none"
    )
    PROBE_LEASE_LOST = CatalogueRow(
        406, "INFO", "lost the lease to probe a service", "none"
    )
    UPSTREAM_PROBATION = CatalogueRow(
        407, "INFO", "an ejected upstream gets one trial request", "none"
    )
    UPSTREAM_RESTARTED = CatalogueRow(
        408,
        "INFO",
        "an upstream restarted under the same id; what was learned of it is discarded",
        "none; if it repeats, check the upstream's host",
    )
    UPSTREAM_LIMITED = CatalogueRow(
        409,
        "WARNING",
        "an upstream advertises a limit of requests per second for all processes",
        "find out which resource it lacks; add up E613 of all processes for the rate",
    )
    UPSTREAM_LIMIT_ENDED = CatalogueRow(
        410, "INFO", "an upstream no longer advertises a limit", "none"
    )
    SIGNAL_UNREADABLE = CatalogueRow(
        411,
        "WARNING",
        "a header of an upstream's responses cannot be parsed and is ignored",
        "fix the upstream; the line is written once for each upstream and header",
    )
    UPSTREAM_BACKOFF = CatalogueRow(
        412,
        "WARNING",
        "an upstream rejected a request and asked this process to back off",
        "find out which resource it lacks",
    )
    ID_TABLE_FULL = CatalogueRow(
        501,
        "WARNING",
        "requests are refused: the table of request ids is full",
        "raise --once-capacity or add entry hosts",
    )
    OUTCOME_UNKNOWN = CatalogueRow(
        502,
        "WARNING",
        "a request that may not be repeated has an unknown outcome",
        "the caller must check with the service before it repeats the operation",
    )
    REQUEST_REFUSED = CatalogueRow(
        601, "WARNING", "a request was refused; it was not executed", "see its reason"
    )
    REQUEST_FAILED = CatalogueRow(
        602, "WARNING", "a request failed or its outcome is unknown", "see its reason"
    )
    LINES_DROPPED = CatalogueRow(
        603, "WARNING", "log lines were dropped", "read the log pipe faster"
    )
    REQUEST_SERVED = CatalogueRow(
        604,
        "INFO",
        "a request was answered (sampled by request id, the same in all processes)",
        "none",
    )
    REQUEST_SENT_AGAIN = CatalogueRow(
        605, "INFO", "a request was sent to another upstream", "see its reason"
    )
    UPSTREAM_ENDED_UNDER_REQUEST = CatalogueRow(
        606,
        "WARNING",
        "an upstream terminated while it executed a request",
        "compare the fingerprints: one that recurs belongs to a request that"
        " crashes upstreams",
    )
    REQUEST_QUARANTINED = CatalogueRow(
        607,
        "ERROR",
        "a request that terminates upstreams was quarantined; it is no longer sent",
        "find it by its fingerprint in the E606 lines; fix the upstream, then delete"
        " its record in the source",
    )
    QUARANTINE_ENDED = CatalogueRow(
        608, "INFO", "a quarantined request may be sent again", "none"
    )
    QUARANTINE_WRITTEN = CatalogueRow(
        609, "INFO", "a quarantine record was written to the source", "none"
    )
    REGION_NOT_ALLOWED = CatalogueRow(
        610,
        "WARNING",
        "a request was refused: its route may not be served in this region",
        "route such callers to the allowed regions, or allow this region",
    )
    EXTRA_SENDS_IN_WINDOW = CatalogueRow(
        611,
        "INFO",
        "retries and hedges of a service that this process sent in the last window",
        "add up the lines of all processes to compare them with the fleet's budget",
    )
    LATE_COPIES_READ = CatalogueRow(
        612,
        "INFO",
        "an upstream resumed reading: it received copies of requests sent long before",
        "find out why it had stopped reading",
    )
    SENT_TO_LIMITED = CatalogueRow(
        613,
        "INFO",
        "requests that this process sent to an upstream that advertises a limit",
        "add up the lines of all processes to compare them with the limit",
    )
    REQUEST_HANDED_OVER = CatalogueRow(
        614,
        "INFO",
        "a request was handed to another gateway, whose response was passed on",
        "see the lines of that gateway",
    )


def emit(event: Event, **fields: object) -> None:
    """
    Log one event.

    ``fields`` appear as ``name=value`` in the message and as fields of the loguru
    record; the record's field ``event`` is the event's number.
    """
    row = event.value
    details = " ".join(f"{name}={value}" for name, value in fields.items())
    loguru.logger.bind(event=row.number, **fields).log(
        row.level, "E{} {} {}", row.number, row.text, details
    )


def catalogue() -> str:
    """Return the text of ``docs/EVENTS.md``."""
    lines = [
        "# Log events",
        "",
        "Made by `make docs` from `spindlenotch/events.py`; do not edit.",
        "",
        "| number | level | event | what to do |",
        "| --- | --- | --- | --- |",
    ]
    for event in Event:
        row = event.value
        lines.append(f"| E{row.number} | {row.level} | {row.text} | {row.action} |")
    return "\n".join(lines) + "\n"
