//! Limits on the contents of a document, and the paths reserved for the instances.

/// The maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;

/// The maximum number of workspaces in a document.
pub const MAX_WORKSPACES: usize = 1_024;

/// The maximum number of keys of one workspace.
pub const MAX_KEYS: usize = 16;

/// The maximum number of backend servers in a document.
pub const MAX_SERVERS: usize = 4_096;

/// The maximum number of routes of each kind, language and plain.
pub const MAX_ROUTES: usize = 1_024;

/// The maximum number of models of one engine.
pub const MAX_MODELS: usize = 64;

/// The maximum number of methods of one plain route.
pub const MAX_METHODS: usize = 16;

/// The maximum length of a path prefix, in bytes.
pub const MAX_PATH_BYTES: usize = 1_024;

/// The maximum rate, in tokens per second, and the maximum burst, in tokens.
pub const MAX_TOKENS: u64 = 1_000_000_000_000;

/// The maximum weight of a workspace.
pub const MAX_WEIGHT: u64 = 1_000;

/// The maximum number of requests that a server can run at the same time.
pub const MAX_SLOTS: u64 = 65_536;

/// The maximum capacity of an engine's KV cache, in pieces.
pub const MAX_MEMORY_PIECES: u64 = 1_048_576;

/// The maximum rate of an engine's link, in bytes per second.
pub const MAX_LINK_BYTES_PER_S: u64 = 1_000_000_000_000;

/// Paths that the instances serve themselves: a plain route's prefix may neither equal one of them
/// nor lie below one.
pub const RESERVED_PATHS: &[&str] = &[
    "/healthz",
    "/readyz",
    "/v1/chat/completions",
    "/v1/completions",
    "/v1/instances",
    "/v1/models",
];
