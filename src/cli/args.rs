//! Parses the command line; unknown arguments and stray values are refused.

use std::ffi;
use std::net;
use std::path;
use std::str;

use crate::cli::exit;
use crate::cli::help;
use crate::core::ids;
use crate::document;
use crate::document::hex;
use crate::settings;

/// The largest share of requests that may be hedged, in percent: half of the usual retry budget.
const MAX_HEDGE_PERCENT: f64 = 10.0;

/// An instance's side for operators, and the file with the operator key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Remote {
    /// The address.
    pub address: net::SocketAddr,
    /// The file that holds the key.
    pub key_file: path::PathBuf,
}

/// How a document is proposed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposing {
    /// The version that it replaces; the one in force if none is named.
    pub base: Option<u64>,
    /// The number of an earlier attempt that is repeated.
    pub id: Option<u128>,
    /// Who proposes it.
    pub author: String,
}

/// Where keys are listed from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// A document on this machine.
    File(path::PathBuf),
    /// The document in force.
    Remote(Remote),
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Print a help text.
    Help(&'static str),
    /// Print the version of the program.
    Version,
    /// Run an instance.
    Serve {
        /// The settings file.
        settings: path::PathBuf,
    },
    /// Run an instance on the users' platform.
    Node {
        /// The port on which metrics are shown.
        metrics_port: Option<u16>,
        /// The share of requests that may be hedged, in percent.
        hedge_percent: f64,
    },
    /// Check a document.
    ConfigCheck {
        /// The document.
        file: path::PathBuf,
        /// The environment; all if none is named.
        environment: Option<document::Environment>,
    },
    /// Propose a document.
    ConfigApply {
        /// The document.
        file: path::PathBuf,
        /// The instance that is told.
        to: Remote,
        /// How it is proposed.
        proposal: Proposing,
    },
    /// Propose the document of another environment.
    ConfigPromote {
        /// An instance of the environment that has the document.
        from: Remote,
        /// An instance of the environment that is to have it.
        to: Remote,
        /// The digest that the document must have.
        digest: Option<ids::Digest>,
        /// How it is proposed.
        proposal: Proposing,
    },
    /// Print the document in force.
    ConfigShow {
        /// The instance that is asked.
        from: Remote,
    },
    /// Compare a document with the one in force.
    ConfigDiff {
        /// The document.
        file: path::PathBuf,
        /// The instance that is asked.
        from: Remote,
    },
    /// Print the versions that were in force.
    ConfigHistory {
        /// The instance that is asked.
        from: Remote,
    },
    /// Create a key.
    KeyCreate {
        /// The name of the key.
        id: String,
    },
    /// Remove a key from a document.
    KeyWithdraw {
        /// The workspace.
        workspace: String,
        /// The name of the key.
        id: String,
        /// The document.
        file: path::PathBuf,
        /// The instance that is told, if the document is to be applied.
        to: Option<Remote>,
        /// How it is proposed.
        proposal: Proposing,
    },
    /// Print the keys of a document.
    KeyList {
        /// The document.
        source: Source,
    },
    /// Print the instances.
    Instances {
        /// The instance that is asked.
        from: Remote,
    },
    /// Print the state of an instance.
    Status {
        /// The instance that is asked.
        from: Remote,
    },
    /// Print the decisions on a request.
    Explain {
        /// The request.
        request: String,
        /// The instance that took the request.
        from: Remote,
    },
    /// Change what an instance logs.
    LogLevel {
        /// The least severe level.
        level: settings::LogLevel,
        /// The instance that is told.
        to: Remote,
    },
}

/// Parses the arguments that follow the program's name.
pub fn parse(arguments: Vec<ffi::OsString>) -> Result<Command, exit::Failure> {
    let mut parser = Parser { args: pico_args::Arguments::from_vec(arguments), topic: "" };
    // `--json` is read by the caller.
    parser.args.contains("--json");
    if parser.args.contains("--version") {
        parser.finish()?;
        return Ok(Command::Version);
    }
    let topic = parser.topic()?;
    parser.topic = topic.name;
    if parser.args.contains(["-h", "--help"]) {
        return Ok(Command::Help(topic.text));
    }
    let command = parser.command()?;
    parser.finish()?;
    Ok(command)
}

/// The arguments of one command.
struct Parser {
    args: pico_args::Arguments,
    topic: &'static str,
}

impl Parser {
    fn usage(&self, message: impl Into<String>) -> exit::Failure {
        let space = if self.topic.is_empty() { "" } else { " " };
        let command = format!("{}{space}", self.topic);
        exit::Failure::Usage { command, message: message.into() }
    }

    fn word(&mut self) -> Result<Option<String>, exit::Failure> {
        self.args.subcommand().map_err(|error| self.usage(error.to_string()))
    }

    /// Finds the command that the first words name.
    fn topic(&mut self) -> Result<&'static help::Topic, exit::Failure> {
        let Some(first) = self.word()? else { return Ok(&help::OVERVIEW) };
        if let Some(topic) = help::find(&first) {
            return Ok(topic);
        }
        let group = help::group(&first);
        let Some(group) = group else {
            return Err(self.usage(format!("unknown command `{}`", first.escape_debug())));
        };
        let Some(second) = self.word()? else { return Ok(group) };
        help::find(&format!("{first} {second}")).ok_or_else(|| {
            self.usage(format!("unknown command `{first} {}`", second.escape_debug()))
        })
    }

    fn command(&mut self) -> Result<Command, exit::Failure> {
        match self.topic {
            "serve" => Ok(Command::Serve { settings: self.path("--settings")? }),
            "node" => {
                let port = |text: &str| text.parse().map_err(|_| "not a port");
                let metrics_port = self.optional("--metrics-port", port)?;
                let hedge_percent = self.optional("--hedge-percent", parse_hedge_percent)?;
                let hedge_percent = hedge_percent.unwrap_or_default();
                Ok(Command::Node { metrics_port, hedge_percent })
            }
            "config check" => {
                let environment = self.optional("--environment", parse_environment)?;
                Ok(Command::ConfigCheck { file: self.file()?, environment })
            }
            "config apply" => {
                let (to, proposal) = (self.remote("--to", "--key-file")?, self.proposing()?);
                Ok(Command::ConfigApply { file: self.file()?, to, proposal })
            }
            "config promote" => self.promote(),
            "config show" => Ok(Command::ConfigShow { from: self.from()? }),
            "config diff" => {
                let from = self.from()?;
                Ok(Command::ConfigDiff { file: self.file()?, from })
            }
            "config history" => Ok(Command::ConfigHistory { from: self.from()? }),
            "key create" => Ok(Command::KeyCreate { id: self.text("--id")? }),
            "key withdraw" => self.withdraw(),
            "key list" => self.key_list(),
            "instances" => Ok(Command::Instances { from: self.from()? }),
            "status" => Ok(Command::Status { from: self.from()? }),
            "explain" => {
                let from = self.from()?;
                let request = self.free("REQUEST_ID", |text| {
                    ids::parse_request(text)
                        .map(ids::request_text)
                        .ok_or("not 32 hexadecimal digits")
                })?;
                Ok(Command::Explain { request, from })
            }
            "log-level" => {
                let to = self.remote("--to", "--key-file")?;
                Ok(Command::LogLevel { level: self.free("LEVEL", parse_level)?, to })
            }
            _ => Err(self.usage("no command")),
        }
    }

    fn promote(&mut self) -> Result<Command, exit::Failure> {
        let to = self.remote("--to", "--key-file")?;
        let address = self.required("--from", parse_address)?;
        let key_file = self.optional_path("--from-key-file")?;
        let key_file = key_file.unwrap_or_else(|| to.key_file.clone());
        let digest = self.optional("--digest", |text| {
            hex::parse_digest(text).ok_or("not 64 hexadecimal digits")
        })?;
        let from = Remote { address, key_file };
        Ok(Command::ConfigPromote { from, to, digest, proposal: self.proposing()? })
    }

    fn withdraw(&mut self) -> Result<Command, exit::Failure> {
        let to = match self.optional("--to", parse_address)? {
            Some(address) => Some(Remote { address, key_file: self.path("--key-file")? }),
            None => None,
        };
        Ok(Command::KeyWithdraw {
            workspace: self.text("--workspace")?,
            id: self.text("--id")?,
            file: self.path("--file")?,
            to,
            proposal: self.first_attempt()?,
        })
    }

    fn key_list(&mut self) -> Result<Command, exit::Failure> {
        let source = match self.optional_path("--file")? {
            Some(file) => Source::File(file),
            None => Source::Remote(self.from()?),
        };
        Ok(Command::KeyList { source })
    }

    fn proposing(&mut self) -> Result<Proposing, exit::Failure> {
        let id = self.optional("--proposal", |text| {
            ids::parse_request(text).ok_or("not 32 hexadecimal digits")
        })?;
        let proposing = Proposing { id, ..self.first_attempt()? };
        if id.is_some() && proposing.base.is_none() {
            return Err(self.usage("--proposal repeats an attempt and needs its --base"));
        }
        Ok(proposing)
    }

    fn first_attempt(&mut self) -> Result<Proposing, exit::Failure> {
        let base = self.optional("--base", |text| text.parse().map_err(|_| "not a version"))?;
        let author = self.optional("--author", |text| Ok(text.to_string()))?;
        let author = author.or_else(|| std::env::var("USER").ok()).unwrap_or_default();
        let author = if author.is_empty() { "operator".to_string() } else { author };
        Ok(Proposing { base, id: None, author })
    }

    fn from(&mut self) -> Result<Remote, exit::Failure> {
        self.remote("--from", "--key-file")
    }

    fn remote(
        &mut self,
        address: &'static str,
        key_file: &'static str,
    ) -> Result<Remote, exit::Failure> {
        let address = self.required(address, parse_address)?;
        Ok(Remote { address, key_file: self.path(key_file)? })
    }

    fn optional<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Parsed<T>,
    ) -> Result<Option<T>, exit::Failure> {
        let text: Option<String> =
            self.args.opt_value_from_str(name).map_err(|error| self.usage(error.to_string()))?;
        let Some(text) = text else { return Ok(None) };
        parse(&text).map(Some).map_err(|reason| self.usage(format!("{name}: {reason}")))
    }

    fn required<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Parsed<T>,
    ) -> Result<T, exit::Failure> {
        self.optional(name, parse)?.ok_or_else(|| self.usage(format!("missing {name}")))
    }

    fn text(&mut self, name: &'static str) -> Result<String, exit::Failure> {
        self.required(
            name,
            |text| {
                if text.is_empty() { Err("empty") } else { Ok(text.to_string()) }
            },
        )
    }

    fn optional_path(
        &mut self,
        name: &'static str,
    ) -> Result<Option<path::PathBuf>, exit::Failure> {
        let parse = |text: &ffi::OsStr| Ok::<_, str::Utf8Error>(path::PathBuf::from(text));
        self.args.opt_value_from_os_str(name, parse).map_err(|error| self.usage(error.to_string()))
    }

    fn path(&mut self, name: &'static str) -> Result<path::PathBuf, exit::Failure> {
        self.optional_path(name)?.ok_or_else(|| self.usage(format!("missing {name}")))
    }

    /// Takes the file that stands without an option's name; call it after all options.
    fn file(&mut self) -> Result<path::PathBuf, exit::Failure> {
        self.free("FILE", |text| Ok(path::PathBuf::from(text)))
    }

    fn free<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Parsed<T>,
    ) -> Result<T, exit::Failure> {
        let text: Option<String> =
            self.args.opt_free_from_str().map_err(|error| self.usage(error.to_string()))?;
        let text = text.ok_or_else(|| self.usage(format!("missing {name}")))?;
        if text.starts_with('-') {
            return Err(self.usage(format!("unknown option `{}`", text.escape_debug())));
        }
        parse(&text).map_err(|reason| self.usage(format!("{name}: {reason}")))
    }

    /// Refuses what is left.
    fn finish(&mut self) -> Result<(), exit::Failure> {
        let args = std::mem::replace(&mut self.args, pico_args::Arguments::from_vec(Vec::new()));
        let rest = args.finish();
        let Some(first) = rest.first() else { return Ok(()) };
        Err(self.usage(format!("unexpected argument `{}`", first.to_string_lossy().escape_debug())))
    }
}

type Parsed<T> = Result<T, &'static str>;

fn parse_address(text: &str) -> Parsed<net::SocketAddr> {
    text.parse().map_err(|_| "not an IP address with a port, such as 192.0.2.1:7003")
}

fn parse_environment(text: &str) -> Parsed<document::Environment> {
    document::Environment::parse(text).ok_or("not trial or production")
}

fn parse_hedge_percent(text: &str) -> Parsed<f64> {
    let percent = text.parse().ok().filter(|percent| (0.0..=MAX_HEDGE_PERCENT).contains(percent));
    percent.ok_or("not a number from 0 to 10")
}

fn parse_level(text: &str) -> Parsed<settings::LogLevel> {
    settings::LogLevel::parse(text).ok_or("not error, warn, info, debug or trace")
}
