"""Time limits and intervals that several libraries share, in milliseconds."""

# An instance that has not confirmed the log's end within this time does not start any work.
MAX_VIEW_AGE_MS = 3_000
# A start order expires this long after it was sent, however long it is delayed in transit. Together
# with the maximum age of the view behind it, this stays within ZONE_OUT_BOUND_MS.
START_ORDER_VALIDITY_MS = 1_500
# A peer that has sent nothing for this long is suspected to have failed.
SUSPICION_TIMEOUT_MS = 1_500
HEARTBEAT_INTERVAL_MS = 500
# The list of instances lags by at most 10 s. A joining instance waits for that plus
# MAX_LIST_AGE_MS, the maximum age at which an instance relies on its last read of the list during
# an outage of the log alone.
MAX_LIST_AGE_MS = 5_000
JOIN_SETTLE_MS = 15_000
# An instance that was heard from within this time counts as known, like one in the list.
PEER_RETENTION_MS = 60_000

# Each instance waits this much longer than the next higher-ranked one before it proposes placements
# or writes a snapshot in its place.
RANK_DELAY_MS = 300
SNAPSHOT_RANK_DELAY_MS = 2_000

# A started member gets a short lease until all members run, so that a partial gang expires soon.
START_LEASE_MS = 3_000
LEASE_MS = 30_000
# The lease of gangs of several members is short enough for PARTIAL_GANG_BOUND_MS: it expires for a
# member on an unreachable worker while the other members are being stopped.
GANG_LEASE_MS = 8_000
GANG_SYNC_INTERVAL_MS = 2_000
START_BOUND_MS = 4_000
# Covers the gang lease, the detection of its expiry and a checkpoint.
PARTIAL_GANG_BOUND_MS = 15_000
START_TIMEOUT_MS = 1_000
# The members on an unresponsive worker count as lost this long after their lease has expired.
LOST_MARGIN_MS = 5_000
# Network partitions between regions last an hour now and then. Instances that are cut off together
# with others of their region renew leases for this long, and the members in a region that is not
# heard from count as lost only after it.
REGION_PARTITION_MS = 2 * 3_600_000
# An instance that hears from no other one stops renewing leases after this time, which the others
# rely on.
ISOLATED_RENEW_MS = 30_000
CHECKPOINT_BOUND_MS = 5_000
RESERVATION_MS = 60_000

# An accepted claim, with its answer, is retained for this long after the request's deadline.
CLAIM_RETENTION_MS = 2 * 3_600_000
MAX_DEADLINE_MS = 3_600_000
ANSWER_RETENTION_MS = 600_000
LOG_WAIT_MS = 2_000
# Patient (not urgent) requests and jobs that have waited for longer than this gain priority. For
# requests, a longer limit raises the patient p99 in an outage, and a shorter one delays urgent
# starts past 1.4 s.
PATIENT_REQUEST_AGEING_MS = 18_000
PATIENT_JOB_AGEING_MS = 600_000
ZONE_OUT_BOUND_MS = 5_000
STOP_BOUND_MS = 15_000
