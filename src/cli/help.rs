//! The help text of each command.

/// A command or a group of commands.
#[derive(Debug)]
pub struct Topic {
    /// Its words.
    pub name: &'static str,
    /// Its help text.
    pub text: &'static str,
}

/// The help text of the whole program.
pub static OVERVIEW: Topic = Topic {
    name: "",
    text: "\
Usage: galenayard COMMAND [OPTIONS]

A router for language engines with separate prefill and decode pools, and for plain services.

Commands:
  serve           Run an instance
  node            Run an instance on the users' platform
  config check    Check a document
  config apply    Put a document in force
  config promote  Put the document of one environment in force in another
  config show     Print the document in force
  config diff     Compare a document with the one in force
  config history  Print who put which version in force, and when
  key create      Create a key of a workspace
  key withdraw    Remove a key from a document
  key list        Print the keys of a document
  instances       Print the instances of the fleet
  status          Print the state of an instance
  explain         Print the decisions on a request
  log-level       Change what an instance logs

Options of all commands:
  --json          Print one line of JSON
  -h, --help      Print the help of a command
  --version       Print the version

Exit codes:
  0  carried out
  1  refused, or a difference was found; nothing has changed
  2  wrong arguments
  3  the instance or its log cannot be reached; nothing has changed
  4  a proposal may have taken effect; send it again with the same proposal id
  5  the operator key is missing or wrong
  6  a file or socket of this machine failed
",
};

static GROUPS: &[Topic] = &[
    Topic {
        name: "config",
        text: "\
Usage: galenayard config check|apply|promote|show|diff|history [OPTIONS]

Each has a help of its own: galenayard config check --help
",
    },
    Topic {
        name: "key",
        text: "\
Usage: galenayard key create|withdraw|list [OPTIONS]

Each has a help of its own: galenayard key create --help
",
    },
];

static TOPICS: &[Topic] = &[
    Topic {
        name: "serve",
        text: "\
Usage: galenayard serve --settings FILE

Runs an instance until SIGTERM or SIGINT; it then leaves the list of instances, finishes its
requests and hands over what it holds. A second signal ends it at once.

  --settings FILE  The settings of the instance; see docs/SETTINGS.md
",
    },
    Topic {
        name: "node",
        text: "\
Usage: galenayard node [--metrics-port PORT] [--hedge-percent P]

Runs an instance on the users' platform until SIGTERM. The platform tells where its settings file is;
see README.md.

  --metrics-port PORT  Where metrics are shown; nowhere if not named
  --hedge-percent P    The share of requests that may be sent to a second server while the first
                       one is slow, in percent, 0 to 10; 0 if not named
",
    },
    Topic {
        name: "config check",
        text: "\
Usage: galenayard config check FILE [--environment ENVIRONMENT]

Reports all faults of a document with their places and remedies.

  --environment ENVIRONMENT  trial or production; both if not named
",
    },
    Topic {
        name: "config apply",
        text: "\
Usage: galenayard config apply FILE --to ADDRESS --key-file FILE [OPTIONS]

Puts a document in force if the version that it replaces is still the one in force.

  --to ADDRESS      The operators' address of any instance
  --key-file FILE   The file with the operator key
  --base VERSION    The version that it replaces; the one in force if not named
  --author NAME     Who proposes it; $USER if not named
  --proposal ID     The number of an earlier attempt whose end is unknown; needs its --base
",
    },
    Topic {
        name: "config promote",
        text: "\
Usage: galenayard config promote --from ADDRESS --to ADDRESS --key-file FILE [OPTIONS]

Puts the document in force in one environment in force in another, byte by byte.

  --from ADDRESS        The operators' address of an instance that has the document
  --from-key-file FILE  The operator key there; that of --key-file if not named
  --to ADDRESS          The operators' address of an instance that is to have it
  --key-file FILE       The file with the operator key
  --digest SHA256       The digest that the document must have
  --base VERSION        The version that it replaces; the one in force if not named
  --author NAME         Who proposes it; $USER if not named
  --proposal ID         The number of an earlier attempt whose end is unknown; needs its --base
",
    },
    Topic {
        name: "config show",
        text: "\
Usage: galenayard config show --from ADDRESS --key-file FILE

Prints the document in force as it was applied.

  --from ADDRESS   The operators' address of any instance
  --key-file FILE  The file with the operator key
",
    },
    Topic {
        name: "config diff",
        text: "\
Usage: galenayard config diff FILE --from ADDRESS --key-file FILE

Prints the lines that FILE removes from the document in force (-) and adds to it (+). Ends with
exit code 1 if there are any.

  --from ADDRESS   The operators' address of any instance
  --key-file FILE  The file with the operator key
",
    },
    Topic {
        name: "config history",
        text: "\
Usage: galenayard config history --from ADDRESS --key-file FILE

Prints the versions that were in force, the latest last: version, base, time, author, digest.

  --from ADDRESS   The operators' address of any instance
  --key-file FILE  The file with the operator key
",
    },
    Topic {
        name: "key create",
        text: "\
Usage: galenayard key create --id ID

Draws a new key, prints it, and prints the lines that add its digest to a workspace. The key is
shown this once and kept nowhere.

  --id ID  A name for the key that may be shown
",
    },
    Topic {
        name: "key withdraw",
        text: "\
Usage: galenayard key withdraw --workspace ID --id ID --file FILE [OPTIONS]

Removes a key from a document. With --to the document is put in force as well.

  --workspace ID   The workspace
  --id ID          The name of the key
  --file FILE      The document; it is changed in place
  --to ADDRESS     The operators' address of any instance
  --key-file FILE  The file with the operator key
  --base VERSION   The version that it replaces; the one in force if not named
  --author NAME    Who proposes it; $USER if not named
",
    },
    Topic {
        name: "key list",
        text: "\
Usage: galenayard key list --file FILE
       galenayard key list --from ADDRESS --key-file FILE

Prints the keys of a document or of the one in force: workspace, name, start of the digest.

  --file FILE      A document
  --from ADDRESS   The operators' address of any instance
  --key-file FILE  The file with the operator key
",
    },
    Topic {
        name: "instances",
        text: "\
Usage: galenayard instances --from ADDRESS --key-file FILE

Prints the instances of the fleet as one of them knows them.

  --from ADDRESS   The operators' address of any instance
  --key-file FILE  The file with the operator key
",
    },
    Topic {
        name: "status",
        text: "\
Usage: galenayard status --from ADDRESS --key-file FILE

Prints the state of an instance.

  --from ADDRESS   The operators' address of the instance
  --key-file FILE  The file with the operator key
",
    },
    Topic {
        name: "explain",
        text: "\
Usage: galenayard explain REQUEST_ID --from ADDRESS --key-file FILE

Prints the decisions that an instance took on a request, and why.

  REQUEST_ID       The 32 hexadecimal digits of the answer's x-request-id
  --from ADDRESS   The operators' address of the instance that took the request
  --key-file FILE  The file with the operator key
",
    },
    Topic {
        name: "log-level",
        text: "\
Usage: galenayard log-level LEVEL --to ADDRESS --key-file FILE

Changes what an instance logs until it stops: error, warn, info, debug or trace.

  --to ADDRESS     The operators' address of the instance
  --key-file FILE  The file with the operator key
",
    },
];

/// Finds a command.
pub fn find(name: &str) -> Option<&'static Topic> {
    TOPICS.iter().find(|topic| topic.name == name)
}

/// Finds a group of commands.
pub fn group(name: &str) -> Option<&'static Topic> {
    GROUPS.iter().find(|topic| topic.name == name)
}

/// Iterates over all commands.
pub fn topics() -> impl Iterator<Item = &'static Topic> {
    TOPICS.iter()
}
