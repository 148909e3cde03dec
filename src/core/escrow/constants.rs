//! Limits and durations of the escrow protocol.

use std::time;

/// Number of equal shares that a workspace's rate and burst are divided into.
pub const SHARES: usize = 8;

/// Millionths of a token (microtokens) in one token; buckets count in these.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Time within which granted tokens may be spent, counted from the sending of the request.
pub const GRANT_TTL_MS: u64 = 2_000;

/// Time for which the issuer counts a grant after the recipient may no longer spend it; covers
/// clock rates that differ by up to 2%.
pub const GRANT_MARGIN_MS: u64 = 100;

/// Remaining lifetime of pulled tokens below which a broker returns them instead of granting them.
pub const MIN_PULLED_GRANT_LIFETIME_MS: u64 = 1_000;

/// Time for which a request may wait for tokens.
pub const RESERVE_WAIT_MS: u64 = 500;

/// Time for which a request waits for a broker's answer beyond its own deadline.
pub const ANSWER_GRACE_MS: u64 = 100;

/// Time without an answer after which a broker or quota holder counts as unresponsive.
pub const ANSWER_TIMEOUT_MS: u64 = 100;

/// Time for which an unresponsive member is not sent token requests or pulls.
pub const SUSPECT_MS: u64 = 1_000;

/// Interval at which an unanswered claim or announcement of leaving is sent again.
pub const CLAIM_RETRY_MS: u64 = 250;

/// Time for which reports to one member are batched into one message.
pub const REPORT_DELAY_MS: u64 = 50;

/// Time for which reports on pulled tokens are batched while some of them are not granted yet.
pub const OPEN_GRANT_REPORT_DELAY_MS: u64 = 300;

/// Time after which a leaving instance gives up handing its shares over.
pub const HANDOVER_TIMEOUT_MS: u64 = 5_000;

/// Refill time that accumulates before a broker pulls again for a workspace over its rate.
pub const PULL_BATCH_MS: u64 = 50;

/// A broker prefetches one second of demand divided by this number.
pub const PREFETCH_DIVISOR: u64 = 4;

/// Divisor of a share's capacity that gives the largest tolerated difference in level, by share,
/// between a broker and a fuller quota holder.
pub const IMBALANCE_DIVISOR: u64 = 4;

/// Window over which a broker measures the demand of a workspace.
pub const DEMAND_WINDOW_MS: u64 = 1_000;

/// Most requests of one workspace that may wait at one instance.
pub const MAX_WAITING: usize = 256;

/// Most requests of one workspace that may wait at its broker.
pub const MAX_QUEUED: usize = 1_024;

/// Most issued grants that an instance keeps until they expire.
pub const MAX_GRANTS: usize = 65_536;

/// Most token requests to brokers that an instance keeps until they expire.
pub const MAX_TOKEN_REQUESTS: usize = 65_536;

/// Most admitted requests whose reservation an instance keeps for settlement.
pub const MAX_RESERVATIONS: usize = 65_536;

/// Most grant outcomes, and most refunds, that are batched for one member.
pub const MAX_REPORTS: usize = 512;

/// Most claimants that are remembered whose join record this instance has not read yet.
pub const MAX_NEW_INSTANCES: usize = 1_024;

/// Largest assumed error of the clock rate of an instance, in parts per million.
pub const CLOCK_DRIFT_PPM: u32 = 10_000;

/// Returns the time for which the recipient may spend a grant.
pub const fn grant_ttl() -> time::Duration {
    time::Duration::from_millis(GRANT_TTL_MS)
}

/// Returns the time for which the issuer counts a grant as outstanding.
pub const fn issuer_grant_ttl() -> time::Duration {
    time::Duration::from_millis(GRANT_TTL_MS + GRANT_MARGIN_MS)
}
