//! The schema of a document: its fields, their types, limits and purposes.

use crate::document::constants;
use crate::schema::{self, Kind};

/// The names of the environments, which are the keys of a server's addresses.
pub const ENVIRONMENTS: &[&str] = &["trial", "production"];

const fn required(name: &'static str, kind: Kind, purpose: &'static str) -> schema::Field {
    schema::Field { name, kind, required: true, purpose }
}

const fn optional(name: &'static str, kind: Kind, purpose: &'static str) -> schema::Field {
    schema::Field { name, kind, required: false, purpose }
}

const fn tables(shape: &'static schema::Shape, max: usize) -> Kind {
    Kind::Tables { shape, max }
}

const fn names(max: usize) -> Kind {
    Kind::Texts { max }
}

/// The top-level lists of a document.
pub static DOCUMENT: schema::Shape = schema::Shape {
    fields: &[
        optional(
            "workspaces",
            tables(&WORKSPACE, constants::MAX_WORKSPACES),
            "a list of workspaces",
        ),
        optional("servers", tables(&SERVER, constants::MAX_SERVERS), "a list of backend servers"),
        optional(
            "language_routes",
            tables(&LANGUAGE_ROUTE, constants::MAX_ROUTES),
            "a list of language routes",
        ),
        optional(
            "plain_routes",
            tables(&PLAIN_ROUTE, constants::MAX_ROUTES),
            "a list of plain routes",
        ),
    ],
};

static WORKSPACE: schema::Shape = schema::Shape {
    fields: &[
        required("id", schema::NAME, "the name of the workspace"),
        required(
            "rate_tokens_per_s",
            Kind::Integer { min: 1, max: constants::MAX_TOKENS },
            "the tokens that become available each second over the whole fleet",
        ),
        required(
            "burst_tokens",
            Kind::Integer { min: 1, max: constants::MAX_TOKENS },
            "the most tokens that may be saved up",
        ),
        optional(
            "weight",
            Kind::Integer { min: 1, max: constants::MAX_WEIGHT },
            "the share of a contended server relative to other workspaces",
        ),
        optional("keys", tables(&KEY, constants::MAX_KEYS), "a list of keys"),
    ],
};

static KEY: schema::Shape = schema::Shape {
    fields: &[
        required("id", schema::NAME, "a name for the key that may be shown"),
        required("sha256", Kind::Digest, "the SHA-256 digest of the key"),
    ],
};

static SERVER: schema::Shape = schema::Shape {
    fields: &[
        required("id", schema::NAME, "the name of the server"),
        required("kind", Kind::Choice(&["engine", "plain"]), "what the server is"),
        optional("role", Kind::Choice(&["prefill", "decode", "both"]), "what the engine does"),
        required("failure_domain", schema::NAME, "where the server stands"),
        optional("models", names(constants::MAX_MODELS), "the models that the engine can run"),
        optional(
            "slots",
            Kind::Integer { min: 1, max: constants::MAX_SLOTS },
            "the requests that the server can run at once",
        ),
        optional(
            "memory_pieces",
            Kind::Integer { min: 1, max: constants::MAX_MEMORY_PIECES },
            "the pieces of engine memory",
        ),
        optional(
            "link_bytes_per_s",
            Kind::Integer { min: 1, max: constants::MAX_LINK_BYTES_PER_S },
            "the rate of the server's link",
        ),
        optional("checks_fencing", Kind::Boolean, "whether old fencing numbers are refused"),
        optional("leaving", Kind::Boolean, "whether the server takes no new work"),
        required("addresses", Kind::Addresses(ENVIRONMENTS), "the address in each environment"),
    ],
};

static LANGUAGE_ROUTE: schema::Shape = schema::Shape {
    fields: &[
        required("id", schema::NAME, "the name of the route"),
        required("model", schema::NAME, "the model that callers name"),
        required("servers", names(constants::MAX_SERVERS), "the engines that serve the route"),
        optional(
            "workspaces",
            names(constants::MAX_WORKSPACES),
            "the workspaces that may use the route",
        ),
    ],
};

static PLAIN_ROUTE: schema::Shape = schema::Shape {
    fields: &[
        required("id", schema::NAME, "the name of the route"),
        required(
            "path_prefix",
            Kind::Text { min_bytes: 1, max_bytes: constants::MAX_PATH_BYTES },
            "the start of the path",
        ),
        optional("methods", names(constants::MAX_METHODS), "the methods of the route"),
        optional("idempotent", Kind::Boolean, "whether a call may be repeated"),
        required("servers", names(constants::MAX_SERVERS), "the servers that serve the route"),
        optional(
            "workspaces",
            names(constants::MAX_WORKSPACES),
            "the workspaces that may use the route",
        ),
        optional("open", Kind::Boolean, "whether the route needs no key"),
    ],
};
