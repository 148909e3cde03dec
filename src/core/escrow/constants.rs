//! Bounds and times of the escrow protocol.

use std::time;

/// Shares that a workspace's rate and burst are divided into.
pub const SHARES: usize = 8;

/// Millionths of a token in a token.
pub const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Time within which granted tokens may be spent, from the sending of the request for them.
pub const GRANT_TTL_MS: u64 = 2_000;

/// Time by which the giver outlasts the taker; covers clock rates that differ by up to 2%.
pub const GRANT_MARGIN_MS: u64 = 100;

/// Time left of pulled tokens below which a broker gives them back instead of granting them.
pub const MIN_LOT_LIFE_MS: u64 = 1_000;

/// Time for which a request may wait for tokens.
pub const RESERVE_WAIT_MS: u64 = 500;

/// Time for which a requester waits for a broker's answer beyond the request's own wait.
pub const ANSWER_GRACE_MS: u64 = 100;

/// Time without any answer after which the next quota holder is asked.
pub const ASK_TIMEOUT_MS: u64 = 100;

/// Time for which a silent member is passed over.
pub const SUSPECT_MS: u64 = 1_000;

/// Time after which a claim without an answer is sent again.
pub const CLAIM_RETRY_MS: u64 = 250;

/// Time for which reports of spent tokens are gathered into one message.
pub const REPORT_DELAY_MS: u64 = 50;

/// Time for which reports on a lot are gathered while a part of it is still free.
pub const OPEN_LOT_REPORT_DELAY_MS: u64 = 300;

/// Time within which a leaving instance hands its shares over before it gives up.
pub const HAND_OVER_TIMEOUT_MS: u64 = 5_000;

/// Time of refill that is pulled at once for a workspace over its rate.
pub const PULL_BATCH_MS: u64 = 50;

/// Share of a second of demand that a broker pulls in advance.
pub const PREFETCH_FRACTION: u64 = 4;

/// Share of a bucket by which a broker's level may fall below another quota holder's.
pub const UNEVEN_FRACTION: u64 = 4;

/// Time over which a broker averages the demand for a workspace.
pub const DEMAND_WINDOW_MS: u64 = 1_000;

/// Requests of one workspace that may wait at one instance.
pub const MAX_WAITING: usize = 256;

/// Requests of one workspace that may wait at its broker.
pub const MAX_QUEUED: usize = 1_024;

/// Grants whose outcome an instance keeps track of.
pub const MAX_GRANTS: usize = 65_536;

/// Questions to brokers whose answers an instance awaits.
pub const MAX_QUESTIONS: usize = 65_536;

/// Admitted requests whose reservation an instance remembers.
pub const MAX_RESERVATIONS: usize = 65_536;

/// Reports that may be gathered for one member.
pub const MAX_REPORTS: usize = 512;

/// Members that have claimed shares before their join was read here.
pub const MAX_NEWCOMERS: usize = 1_024;

/// Rate by which the clock of an instance may be off, in millionths.
pub const CLOCK_DRIFT_PPM: u32 = 10_000;

/// Returns the lifetime of a grant at its taker.
pub const fn grant_ttl() -> time::Duration {
    time::Duration::from_millis(GRANT_TTL_MS)
}

/// Returns the time for which a giver counts a grant as outstanding.
pub const fn giver_ttl() -> time::Duration {
    time::Duration::from_millis(GRANT_TTL_MS + GRANT_MARGIN_MS)
}
