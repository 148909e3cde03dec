//! One instance's state with a log that answers immediately, and the trace of its effects.

use std::fmt::Write as _;
use std::time;

use bytes::Bytes;
use galenayard::core::configuration;
use galenayard::core::effect;
use galenayard::core::escrow;
use galenayard::core::event;
use galenayard::core::ids;
use galenayard::core::log;
use galenayard::core::membership;
use galenayard::core::placement;
use galenayard::core::request;
use galenayard::core::scheduler;
use galenayard::core::state;
use galenayard::document;
use sha2::Digest as _;

/// The key of workspace `w1` in [`DOCUMENT`].
pub const KEY: &[u8] = b"key-1";

/// Two prefill servers, two decode servers, two plain servers and two workspaces.
pub const DOCUMENT: &str = include_str!("document.toml");

const INCARNATION: ids::Incarnation = 7;
const TICK: time::Duration = time::Duration::from_millis(20);

/// The state under test.
pub struct Bench {
    state: state::State,
    now: ids::Timestamp,
    records: Vec<(log::Stream, log::Record)>,
    log_is_up: bool,
    next_request: u64,
    trace: String,
    forwarded: Vec<(ids::RequestId, ids::Attempt, ids::ServerId)>,
}

impl Bench {
    /// Creates an instance that has joined its fleet of one and applied [`DOCUMENT`].
    pub fn ready() -> Self {
        let mut bench = Self {
            state: state::State::new(options()),
            now: ids::Timestamp::ZERO,
            records: Vec::new(),
            log_is_up: true,
            next_request: 1,
            trace: String::new(),
            forwarded: Vec::new(),
        };
        bench.pass(2_000);
        bench.propose(1, 0, DOCUMENT);
        bench.pass(10_000);
        bench.trace.clear();
        bench
    }

    /// Returns the trace so far.
    pub fn trace(&self) -> &str {
        &self.trace
    }

    /// Returns the server to which an attempt at a plain call was sent.
    pub fn server_of(&self, request: ids::RequestId, attempt: ids::Attempt) -> Option<String> {
        let mut sent = self.forwarded.iter();
        let (_, _, server) = sent.find(|(id, number, _)| *id == request && *number == attempt)?;
        Some(String::from_utf8_lossy(server).into_owned())
    }

    /// Writes a line of explanation into the trace.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.trace, "# {text}");
    }

    /// Proposes a document.
    pub fn propose(&mut self, id: u128, base: ids::Offset, body: &str) {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let author = Bytes::from_static(b"operator");
        let proposal = configuration::Proposal { id, base, author, body };
        self.apply(event::Event::Proposed(proposal));
    }

    /// Makes the log unreachable or reachable.
    pub fn set_log(&mut self, is_up: bool) {
        self.log_is_up = is_up;
    }

    /// Lets time pass with ticks and reads of the log.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + time::Duration::from_millis(ms);
        while self.now < end {
            self.now += TICK;
            self.apply(event::Event::Tick);
            if self.log_is_up && self.now.as_millis().is_multiple_of(500) {
                for stream in log::Stream::ALL {
                    self.read(stream, ids::Offset::MAX);
                }
            }
        }
    }

    /// Advances the time without any event, as when the process is paused.
    pub fn pause(&mut self, ms: u64) {
        self.now += time::Duration::from_millis(ms);
    }

    /// A language request arrives.
    pub fn complete(
        &mut self,
        key: &[u8],
        output_tokens: u32,
        deterministic: bool,
    ) -> ids::RequestId {
        let call = request::LanguageCall {
            model: Bytes::from_static(b"m"),
            prompt_bytes: 4_000,
            prefix: vec![11, 12, 13],
            output_limit_tokens: output_tokens,
            deterministic,
        };
        self.arrive(key, request::Target::Language(call))
    }

    /// A plain call arrives.
    pub fn call(&mut self, key: &[u8], call: request::PlainCall) -> ids::RequestId {
        self.arrive(key, request::Target::Plain(call))
    }

    fn arrive(&mut self, key: &[u8], target: request::Target) -> ids::RequestId {
        let request = ids::request_id(INCARNATION, self.next_request);
        self.next_request += 1;
        let key = (!key.is_empty()).then(|| sha2::Sha256::digest(key).into());
        let arrival = request::Arrival { key, target };
        self.request(request::Event::Arrived { request, arrival });
        request
    }

    /// Applies an event of a request.
    pub fn request(&mut self, event: request::Event) {
        self.apply(event::Event::Request(event));
    }

    /// Applies an event and writes it and its effects into the trace.
    pub fn apply(&mut self, event: event::Event) {
        let shown = show_event(&event);
        let effects = self.state.apply(event, self.now);
        let lines: Vec<String> = effects.iter().filter_map(show_effect).collect();
        if let Some(shown) = shown {
            let _ = writeln!(self.trace, "{:>6} ms  {shown}", self.now.as_millis());
        } else if !lines.is_empty() {
            let _ = writeln!(self.trace, "{:>6} ms", self.now.as_millis());
        }
        for line in lines {
            let _ = writeln!(self.trace, "           -> {line}");
        }
        for effect in effects {
            if let effect::Effect::Command {
                request,
                command: request::Command::Forward { attempt, server, .. },
            } = &effect
            {
                self.forwarded.push((*request, *attempt, server.clone()));
            }
            if let effect::Effect::Append { stream, token, body } = effect {
                self.append(stream, token, body);
            }
        }
    }

    fn append(&mut self, stream: log::Stream, token: ids::AppendToken, body: Bytes) {
        if !self.log_is_up {
            let outcome = log::AppendOutcome::Refused;
            return self.apply(event::Event::Appended { stream, token, outcome });
        }
        let offset = self.next_offset(stream);
        let time_ms = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        self.records.push((stream, log::Record { offset, time_ms, body }));
        let outcome = log::AppendOutcome::At(offset);
        self.apply(event::Event::Appended { stream, token, outcome });
        self.read(stream, offset);
    }

    fn next_offset(&self, stream: log::Stream) -> ids::Offset {
        1 + self.records.iter().filter(|(of, _)| *of == stream).count() as ids::Offset
    }

    fn read(&mut self, stream: log::Stream, from: ids::Offset) {
        let records = self
            .records
            .iter()
            .filter(|(of, record)| *of == stream && record.offset >= from)
            .map(|(_, record)| record.clone())
            .collect();
        let next = self.next_offset(stream);
        let batch = log::Batch { requested_at: self.now, first: 1, next, records };
        self.apply(event::Event::Read { stream, batch });
    }
}

fn options() -> state::Options {
    state::Options {
        own: membership::Member {
            id: Bytes::from_static(b"i1"),
            incarnation: INCARNATION,
            failure_domain: Bytes::from_static(b"west"),
            weight: 1,
            peer_address: ([127, 0, 0, 1], 9001).into(),
            caller_address: ([127, 0, 0, 1], 9002).into(),
            leaving: false,
            joined: 0,
        },
        environment: document::Environment::Trial,
        log_retention: time::Duration::from_secs(3_600),
        seed: 1,
        membership: membership::settings::Settings::default(),
        escrow: escrow::settings::Settings::default(),
        requests: request::RequestLimits::default(),
        placement: placement::Policy::Affinity,
        scheduler: scheduler::Discipline::Fair,
    }
}

/// Formats the events that a session is about; ticks and reads are omitted.
fn show_event(event: &event::Event) -> Option<String> {
    match event {
        event::Event::Request(request::Event::Arrived { request, arrival }) => {
            let target = match &arrival.target {
                request::Target::Language(call) => format!("{:?}", call.model),
                request::Target::Plain(call) => format!("{:?} {:?}", call.method, call.path),
            };
            Some(format!("arrived {} for {target}", short(*request)))
        }
        event::Event::Request(event) => Some(shorten(&format!("{event:?}"))),
        event::Event::Proposed(proposal) => Some(format!("proposed on base {}", proposal.base)),
        event::Event::Drain | event::Event::Leave | event::Event::Announce => {
            Some(format!("{event:?}"))
        }
        _ => None,
    }
}

/// Formats the effects that a session is about.
fn show_effect(effect: &effect::Effect) -> Option<String> {
    Some(match effect {
        effect::Effect::Command { request, command } => {
            format!("command {} {}", short(*request), show_command(command))
        }
        effect::Effect::Cancel { request, server, .. } => {
            format!("cancel {} on {server:?}", short(*request))
        }
        effect::Effect::RequestClosed { request, summary } => format!(
            "closed {} {:?} attempts {} usage {:?}",
            short(*request),
            summary.outcome,
            summary.attempts,
            summary.usage
        ),
        effect::Effect::Applied(snapshot) => format!("document {} in force", snapshot.version),
        effect::Effect::KeysFresh(fresh) => format!("keys fresh: {fresh}"),
        effect::Effect::ProposalDecided { outcome, .. } => format!("proposal outcome {outcome:?}"),
        effect::Effect::HandedOver | effect::Effect::LeaveFinished => format!("{effect:?}"),
        _ => return None,
    })
}

fn show_command(command: &request::Command) -> String {
    match command {
        request::Command::Prefill { attempt, server, .. } => {
            format!("prefill on {server:?}, attempt {attempt}")
        }
        request::Command::Decode { attempt, server, start, .. } => {
            format!("decode on {server:?}, attempt {attempt}, {start:?}")
        }
        request::Command::Forward { attempt, server, .. } => {
            format!("forward to {server:?}, attempt {attempt}")
        }
        request::Command::Replay { answer, .. } => format!("replay {answer:?}"),
        request::Command::Refuse(refusal) => format!("refuse {refusal:?}"),
    }
}

fn short(request: ids::RequestId) -> String {
    format!("r{}", request as u64)
}

/// Replaces request ids, which are long, by their sequence numbers.
fn shorten(text: &str) -> String {
    let prefix = ids::request_id(INCARNATION, 0);
    (1..100).rev().fold(text.to_string(), |text, sequence| {
        text.replace(&(prefix + sequence).to_string(), &format!("r{sequence}"))
    })
}

/// A usage count.
pub fn usage(prompt: u32, completion: u32) -> request::Usage {
    request::Usage { prompt_tokens: prompt, cached_tokens: 0, completion_tokens: completion }
}

/// A failure after which the request may have run.
pub fn failure(fault: request::Fault) -> request::Failure {
    request::Failure { fault, ran: request::Ran::Unknown }
}
