"""Time bounds that several libraries share, in milliseconds."""

# An instance that has not confirmed the log's end within this time starts nothing.
FRESH_MS = 3_000
# An order to start is valid for this long after it was sent, whatever holds it up on the way: with
# the age of the view that it rests on, it stays within the bound on zones out of service.
START_VALID_MS = 1_500
# A peer that was silent for this long is suspected.
SUSPECT_MS = 1_500
HEARTBEAT_MS = 500
# The list of instances lags by at most 10 s. An instance that joins waits for that and for the age
# that a reading of the list may have where the plain outage rule relies on it.
LIST_FRESH_MS = 5_000
JOIN_SETTLE_MS = 15_000
# An instance heard or listed within this time counts as known.
KNOWN_MS = 60_000

# Each lower rank waits this much longer before it proposes in place of a higher one.
RANK_STEP_MS = 300
SNAPSHOT_RANK_STEP_MS = 2_000

# A started member gets a short lease until all members run, so that a partial gang lapses soon.
START_LEASE_MS = 3_000
LEASE_MS = 30_000
# A gang of several members gets a lease that is short enough for the bound on partial gangs: a
# member on an unreachable worker lapses in that time while the rest is being stopped.
GANG_LEASE_MS = 8_000
GANG_SYNC_MS = 2_000
START_BOUND_MS = 4_000
# The gang lease, its detection and a checkpoint.
PARTIAL_GANG_BOUND_MS = 15_000
START_TIMEOUT_MS = 1_000
# A silent worker's members count as lost this long after their lease lapsed.
LOST_MARGIN_MS = 5_000
# Regions lose each other for an hour now and then: keepers that are cut off as a region group go
# on renewing for this long, and members in an unheard region count as lost only after it.
REGION_CUT_MS = 2 * 3_600_000
# A keeper that hears nobody stops renewing after this time, so that others can rely on it.
ISOLATED_RENEW_MS = 30_000
CHECKPOINT_BOUND_MS = 5_000
RESERVATION_MS = 60_000

# An accepted claim or answer is kept this long past the request's deadline.
CLAIM_KEEP_MS = 2 * 3_600_000
MAX_DEADLINE_MS = 3_600_000
ANSWER_KEEP_MS = 600_000
LOG_WAIT_MS = 2_000
# A longer bound raises the patient p99 in an outage; a shorter one delays urgent starts past 1.4 s.
PATIENT_REQUEST_AGEING_MS = 18_000
PATIENT_JOB_AGEING_MS = 600_000
ZONE_OUT_BOUND_MS = 5_000
STOP_BOUND_MS = 15_000
