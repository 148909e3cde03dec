//! Bounds of a document.

/// The longest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 512 * 1024;

/// The most workspaces.
pub const MAX_WORKSPACES: usize = 1_024;

/// The most keys of one workspace.
pub const MAX_KEYS: usize = 16;

/// The most backend servers.
pub const MAX_SERVERS: usize = 4_096;

/// The most routes of one kind.
pub const MAX_ROUTES: usize = 1_024;

/// The most models of one engine.
pub const MAX_MODELS: usize = 64;

/// The most methods of one route.
pub const MAX_METHODS: usize = 16;

/// The longest path prefix, in bytes.
pub const MAX_PATH_BYTES: usize = 1_024;

/// The largest rate and burst, in tokens.
pub const MAX_TOKENS: u64 = 1_000_000_000_000;

/// The largest weight of a workspace.
pub const MAX_WEIGHT: u64 = 1_000;

/// The most requests that a server can run at once.
pub const MAX_SLOTS: u64 = 65_536;

/// The most pieces of memory of an engine.
pub const MAX_MEMORY_PIECES: u64 = 1_048_576;

/// The fastest link, in bytes a second.
pub const MAX_LINK_BYTES_PER_S: u64 = 1_000_000_000_000;

/// Paths that the instances answer themselves.
pub const RESERVED_PATHS: &[&str] = &[
    "/healthz",
    "/readyz",
    "/v1/chat/completions",
    "/v1/completions",
    "/v1/instances",
    "/v1/models",
];
