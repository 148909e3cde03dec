//! How a command ends: exit codes and failures with their remedies.

use std::io;
use std::path;
use std::process;

use crate::borders::operators::api;
use crate::router;
use crate::schema;
use crate::shell::runtime;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It was carried out.
    Done,
    /// It was refused, or a comparison found a difference; nothing has changed.
    Refused,
    /// The arguments are wrong.
    Usage,
    /// The instance or its log cannot be reached; nothing has changed.
    Unreachable,
    /// A proposal may have taken effect; send it again with the same proposal id.
    Unknown,
    /// The operator key is missing or wrong.
    Unauthorized,
    /// A file or socket of this machine failed.
    Local,
}

impl Exit {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
            Exit::Unknown => 4,
            Exit::Unauthorized => 5,
            Exit::Local => 6,
        }
    }
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> Self {
        process::ExitCode::from(exit.code())
    }
}

/// Why a command was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The arguments are wrong.
    #[error("{message}; see `galenayard {command}--help`")]
    Usage {
        /// The command with a space after it; empty if there is none.
        command: String,
        /// What is wrong.
        message: String,
    },
    /// A file cannot be read or written.
    #[error("{path}: {source}; check the path and its permissions", path = path.display())]
    File {
        /// The file.
        path: path::PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// The standard output cannot be written.
    #[error("cannot write the output: {0}; check where it goes")]
    Output(io::Error),
    /// The key file holds no key.
    #[error("{path}: no key in this file; write the operator key on its first line", path = .0.display())]
    NoKey(path::PathBuf),
    /// An instance on the users' platform could not run.
    #[error(transparent)]
    Router(#[from] router::RouterError),
    /// A file is not valid.
    #[error("{path}:\n{faults}", path = path.display())]
    Invalid {
        /// The file.
        path: path::PathBuf,
        /// Its faults.
        faults: schema::Faults,
    },
    /// The instance cannot be reached.
    #[error("{address}: {reason}; check the address and that the instance runs")]
    Unreachable {
        /// The operators' address of the instance.
        address: std::net::SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The end of a proposal is not known.
    #[error(
        "the proposal may have taken effect; apply the same document again with \
         `--proposal {proposal:032x} --base {base}`"
    )]
    Unknown {
        /// The proposal's number.
        proposal: u128,
        /// The version that it replaces.
        base: u64,
    },
    /// The instance did not carry out the request.
    #[error("{}; {}{}", .0.message, .0.remedy, faults_text(&.0.faults))]
    Refused(api::ErrorDetail),
    /// The answer cannot be read.
    #[error(
        "{address}: an answer that cannot be read: {reason}; use the same release on both sides"
    )]
    Unreadable {
        /// The operators' address of the instance.
        address: std::net::SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// A document does not have its digest.
    #[error(
        "the document has the digest {found}, not {wanted}; nothing was promoted, compare the two"
    )]
    Digest {
        /// The digest of the document's bytes.
        found: String,
        /// The digest that was named.
        wanted: String,
    },
    /// A key cannot be withdrawn from a file.
    #[error("{path}: {reason}", path = path.display())]
    Key {
        /// The file.
        path: path::PathBuf,
        /// Why, and what to do about it.
        reason: String,
    },
    /// The instance could not be run.
    #[error(transparent)]
    Serve(#[from] runtime::ServeError),
}

fn faults_text(faults: &[String]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}

impl Failure {
    /// Returns how the command ended.
    pub fn exit(&self) -> Exit {
        match self {
            Failure::Usage { .. } => Exit::Usage,
            Failure::File { .. }
            | Failure::Output(_)
            | Failure::NoKey(_)
            | Failure::Router(_)
            | Failure::Serve(_) => Exit::Local,
            Failure::Invalid { .. } | Failure::Digest { .. } | Failure::Key { .. } => Exit::Refused,
            Failure::Unreachable { .. } | Failure::Unreadable { .. } => Exit::Unreachable,
            Failure::Unknown { .. } => Exit::Unknown,
            Failure::Refused(detail) => match detail.kind {
                api::Kind::Unauthorized => Exit::Unauthorized,
                api::Kind::Unavailable => Exit::Unreachable,
                api::Kind::Unknown => Exit::Unknown,
                _ => Exit::Refused,
            },
        }
    }

    /// Returns the name of the kind of failure in machine-readable output.
    pub fn kind(&self) -> &'static str {
        match self.exit() {
            Exit::Done => "done",
            Exit::Refused => "refused",
            Exit::Usage => "usage",
            Exit::Unreachable => "unreachable",
            Exit::Unknown => "unknown",
            Exit::Unauthorized => "unauthorized",
            Exit::Local => "local",
        }
    }
}
