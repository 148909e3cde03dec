//! The schema of a settings file: its fields, their types and their bounds.

use crate::document;
use crate::schema::{self, Kind};

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// The largest weight of an instance.
const MAX_WEIGHT: u64 = 1_000;

/// The largest number of concurrent connections or requests.
const MAX_COUNT: u64 = 1_000_000;

/// The shortest time for which the log may keep records, in milliseconds: twice the time for which
/// a claim on an idempotency key is valid.
const MIN_RETENTION_MS: u64 = 30 * 60 * 1_000;

/// The longest time for which the log may keep records, in milliseconds.
const MAX_RETENTION_MS: u64 = 366 * 24 * HOUR_MS;

/// The minimum length of the secret of a fleet, in bytes.
const MIN_CREDENTIAL_BYTES: usize = 16;

/// The maximum length of the secret of a fleet, in bytes.
const MAX_CREDENTIAL_BYTES: usize = 1_024;

/// The smallest limit on the size of a request's line and headers, in bytes.
const MIN_HEADER_BYTES: u64 = 1_024;

/// The largest limit on the size of a request's line and headers, in bytes.
const MAX_HEADER_BYTES: u64 = 1024 * 1024;

/// The smallest limit on the size of a request's body, in bytes.
const MIN_BODY_BYTES: u64 = 1_024;

/// The largest limit on the size of a request's body, in bytes.
const MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;

/// The largest share of requests that may be hedged.
const MAX_HEDGE_SHARE: f64 = 0.1;

const fn required(name: &'static str, kind: Kind, purpose: &'static str) -> schema::Field {
    schema::Field { name, kind, required: true, purpose }
}

const fn optional(name: &'static str, kind: Kind, purpose: &'static str) -> schema::Field {
    schema::Field { name, kind, required: false, purpose }
}

/// The tables of a settings file.
pub static SETTINGS: schema::Shape = schema::Shape {
    fields: &[
        required("instance", Kind::Table(&INSTANCE), "a table with who the instance is"),
        required("listen", Kind::Table(&LISTEN), "a table with where the instance listens"),
        required(
            "platform",
            Kind::Table(&PLATFORM),
            "a table with where the platform's services are",
        ),
        required(
            "fleet",
            Kind::Table(&FLEET),
            "a table with what the instances of the fleet share",
        ),
        optional(
            "limits",
            Kind::Table(&LIMITS),
            "a table with bounds on the resources that callers may use",
        ),
        optional("timeouts", Kind::Table(&TIMEOUTS), "a table with timeouts"),
        optional(
            "membership",
            Kind::Table(&MEMBERSHIP),
            "a table with the timing of the membership protocol",
        ),
        optional(
            "discovery",
            Kind::Table(&DISCOVERY),
            "a table with the settings of discovery by callers",
        ),
        optional(
            "policy",
            Kind::Table(&POLICY),
            "a table with the policies for placement and limits",
        ),
        optional("hedging", Kind::Table(&HEDGING), "a table with the settings of hedged requests"),
        optional("log", Kind::Table(&LOG), "a table with the settings of logging"),
    ],
};

static INSTANCE: schema::Shape = schema::Shape {
    fields: &[
        required("id", schema::NAME, "the name of the instance"),
        required("failure_domain", schema::NAME, "the failure domain in which the instance runs"),
        optional(
            "weight",
            Kind::Integer { min: 1, max: MAX_WEIGHT },
            "the size of the instance relative to others",
        ),
        required(
            "environment",
            Kind::Choice(document::shape::ENVIRONMENTS),
            "the environment of the instance",
        ),
    ],
};

static LISTEN: schema::Shape = schema::Shape {
    fields: &[
        required("callers", Kind::Address, "the address for callers"),
        required("peers", Kind::Address, "the address for peers"),
        required("operators", Kind::Address, "the address for operators"),
        optional("advertised_callers", Kind::Address, "the address advertised to callers"),
        optional("advertised_peers", Kind::Address, "the address advertised to peers"),
    ],
};

static PLATFORM: schema::Shape = schema::Shape {
    fields: &[
        required("log", Kind::Address, "the address of the log service"),
        required("instances", Kind::Address, "the address of the instance list"),
        optional(
            "log_retention_ms",
            Kind::Integer { min: MIN_RETENTION_MS, max: MAX_RETENTION_MS },
            "the time for which the log keeps records, in milliseconds",
        ),
    ],
};

static FLEET: schema::Shape = schema::Shape {
    fields: &[
        required(
            "credential",
            Kind::Text { min_bytes: MIN_CREDENTIAL_BYTES, max_bytes: MAX_CREDENTIAL_BYTES },
            "the secret that the instances of the fleet share",
        ),
        required("operator_key_sha256", Kind::Digest, "the SHA-256 digest of the operator key"),
    ],
};

static LIMITS: schema::Shape = schema::Shape {
    fields: &[
        optional(
            "max_connections",
            Kind::Integer { min: 1, max: MAX_COUNT },
            "the maximum number of open connections of callers",
        ),
        optional(
            "max_requests",
            Kind::Integer { min: 1, max: MAX_COUNT },
            "the maximum number of concurrent requests",
        ),
        optional(
            "header_bytes",
            Kind::Integer { min: MIN_HEADER_BYTES, max: MAX_HEADER_BYTES },
            "the maximum size of a request's line and headers, in bytes",
        ),
        optional(
            "body_bytes",
            Kind::Integer { min: MIN_BODY_BYTES, max: MAX_BODY_BYTES },
            "the maximum size of a request's body, in bytes",
        ),
        optional(
            "request_send_timeout_ms",
            Kind::Integer { min: 1, max: HOUR_MS },
            "the time for sending line and headers, in milliseconds",
        ),
        optional(
            "body_send_timeout_ms",
            Kind::Integer { min: 1, max: HOUR_MS },
            "the time for sending the body, in milliseconds",
        ),
    ],
};

static TIMEOUTS: schema::Shape = schema::Shape {
    fields: &[
        optional(
            "connect_ms",
            Kind::Integer { min: 1, max: HOUR_MS },
            "the time for opening a connection to a backend server",
        ),
        optional(
            "first_byte_ms",
            Kind::Integer { min: 1, max: HOUR_MS },
            "the time until the first byte of a plain service's response",
        ),
        optional("prefill_ms", Kind::Integer { min: 1, max: HOUR_MS }, "the time for a prefill"),
        optional(
            "gap_ms",
            Kind::Integer { min: 1, max: HOUR_MS },
            "the longest pause within a response",
        ),
        optional(
            "transfer_progress_ms",
            Kind::Integer { min: 1, max: HOUR_MS },
            "the time until the first token after the handover of a KV cache",
        ),
        optional(
            "request_ms",
            Kind::Integer { min: 1, max: HOUR_MS },
            "the time for a complete request",
        ),
        optional(
            "idle_connection_ms",
            Kind::Integer { min: 1, max: HOUR_MS },
            "the longest time that a pooled connection stays unused",
        ),
        optional(
            "drain_ms",
            Kind::Integer { min: 1, max: 2 * HOUR_MS },
            "the longest time that a graceful shutdown waits",
        ),
    ],
};

static MEMBERSHIP: schema::Shape = schema::Shape {
    fields: &[
        optional(
            "lease_ms",
            Kind::Integer { min: 100, max: HOUR_MS },
            "how long an instance stays valid without a renewal",
        ),
        optional(
            "heartbeat_ms",
            Kind::Integer { min: 10, max: HOUR_MS },
            "the time between two renewals",
        ),
    ],
};

static DISCOVERY: schema::Shape = schema::Shape {
    fields: &[optional(
        "ttl_ms",
        Kind::Integer { min: 100, max: HOUR_MS },
        "how long callers may keep the list of instances",
    )],
};

static POLICY: schema::Shape = schema::Shape {
    fields: &[
        optional(
            "placement",
            Kind::Choice(&["affinity", "round_robin", "least_outstanding"]),
            "the policy that chooses engines",
        ),
        optional(
            "limits",
            Kind::Choice(&["escrow", "rate_over_n"]),
            "the policy that enforces the limits of workspaces",
        ),
    ],
};

static HEDGING: schema::Shape = schema::Shape {
    fields: &[optional(
        "share",
        Kind::Number { min: 0.0, max: MAX_HEDGE_SHARE },
        "the share of requests that may be hedged",
    )],
};

static LOG: schema::Shape = schema::Shape {
    fields: &[optional(
        "level",
        Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "the least severe level that is written",
    )],
};
