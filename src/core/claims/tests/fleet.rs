//! Three claims reducers that share one log, whose appends and answers can be delayed or lost.

use std::sync;
use std::time;

use bytes::Bytes;

use crate::core::claims;
use crate::core::claims::constants;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::reducer::Reducer as _;

const NODES: usize = 3;
const TICK: time::Duration = time::Duration::from_millis(50);
/// Ticks after which `advance` uses coarse ticks, to make long waits cheap.
const FINE_TICKS: u32 = 200;
const COARSE_TICK: time::Duration = time::Duration::from_secs(20);

/// How the log treats the appends of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendBehavior {
    /// They are written and answered.
    Answered,
    /// They are written, and the node learns that their outcome is unknown.
    AnswerLost,
    /// They are written after a delay, and never answered.
    Delayed { ms: u64 },
    /// They are refused and not written.
    Refused,
}

/// A request that claimed a key, and its outcomes so far.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    pub node: usize,
    pub id: ids::RequestId,
    pub key: u8,
    pub outcomes: Vec<String>,
    pub granted_at: Option<ids::Timestamp>,
    pub not_run: bool,
    pub settled: bool,
    pub withdrawn: bool,
    pub crashed: bool,
}

struct Node {
    claims: claims::Claims,
    incarnation: ids::Incarnation,
    next: u64,
    read: usize,
    behavior: AppendBehavior,
    paused: bool,
}

/// The instances, the log, and the outcomes of all requests.
pub struct Fleet {
    pub now: ids::Timestamp,
    pub requests: Vec<Request>,
    pub double_grants: Vec<(ids::RequestId, ids::RequestId)>,
    pub log_is_up: bool,
    pub messages_are_lost: bool,
    nodes: Vec<Node>,
    log: Vec<log::Record>,
    delayed: Vec<(ids::Timestamp, Bytes)>,
}

impl Fleet {
    pub fn new() -> Self {
        let node = |index: usize| Node {
            claims: claims::Claims::new(index as u64 + 1),
            incarnation: index as u64 + 1,
            next: 1,
            read: 0,
            behavior: AppendBehavior::Answered,
            paused: false,
        };
        let mut fleet = Self {
            now: time::Duration::from_secs(1),
            requests: Vec::new(),
            double_grants: Vec::new(),
            log_is_up: true,
            messages_are_lost: false,
            nodes: (0..NODES).map(node).collect(),
            log: Vec::new(),
            delayed: Vec::new(),
        };
        fleet.publish_view();
        fleet
    }

    /// Claims a key for a new request; returns the request's index.
    pub fn claim(&mut self, node: usize, key: u8, body: u8) -> usize {
        let sequence = self.nodes[node].next;
        self.nodes[node].next += 1;
        let id = ids::request_id(self.nodes[node].incarnation, sequence);
        self.requests.push(Request {
            node,
            id,
            key,
            outcomes: Vec::new(),
            granted_at: None,
            not_run: false,
            settled: false,
            withdrawn: false,
            crashed: false,
        });
        let event = claims::Event::Claim { request: id, key: [key; 32], fingerprint: [body; 32] };
        self.apply(node, event);
        self.requests.len() - 1
    }

    /// Settles a request that was granted its claim.
    pub fn settle(&mut self, index: usize, answer: claims::Answer) {
        let request = &mut self.requests[index];
        if request.granted_at.is_none() || request.settled || request.crashed {
            return;
        }
        request.settled = true;
        request.not_run = answer == claims::Answer::NotRun;
        let (node, id) = (request.node, request.id);
        self.apply(node, claims::Event::Settled { request: id, answer });
    }

    /// Withdraws a request that has no outcome yet.
    pub fn withdraw(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if !request.outcomes.is_empty() || request.withdrawn || request.crashed {
            return;
        }
        request.withdrawn = true;
        let (node, id) = (request.node, request.id);
        self.apply(node, claims::Event::Withdraw { request: id });
    }

    /// Replaces a node's process by a new one without state.
    pub fn crash(&mut self, node: usize) {
        for request in self.requests.iter_mut().filter(|request| request.node == node) {
            request.crashed = true;
        }
        let incarnation = self.nodes[node].incarnation + NODES as u64;
        let state = &mut self.nodes[node];
        state.claims = claims::Claims::new(incarnation);
        state.incarnation = incarnation;
        state.next = 1;
        state.read = 0;
        self.publish_view();
    }

    pub fn set_append_behavior(&mut self, node: usize, behavior: AppendBehavior) {
        self.nodes[node].behavior = behavior;
    }

    pub fn set_paused(&mut self, node: usize, paused: bool) {
        self.nodes[node].paused = paused;
    }

    /// Makes a node read the log, even if it is paused.
    pub fn read(&mut self, node: usize) {
        let records = self.log[self.nodes[node].read..].to_vec();
        self.nodes[node].read = self.log.len();
        let next = self.log.len() as ids::Offset + 1;
        let batch = log::Batch { requested_at: self.now, first: 1, next, records };
        self.apply(node, claims::Event::Read(batch));
    }

    /// Advances the time, with ticks of all running nodes.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + time::Duration::from_millis(ms);
        let mut ticks = 0;
        while self.now < end {
            ticks += 1;
            let step = if ticks > FINE_TICKS { COARSE_TICK } else { TICK };
            self.now = (self.now + step).min(end);
            self.write_delayed();
            for node in 0..NODES {
                if self.nodes[node].paused {
                    continue;
                }
                if self.log_is_up {
                    self.read(node);
                }
                self.apply(node, claims::Event::Tick);
            }
        }
    }

    /// Ends all faults, and runs until all requests are settled.
    pub fn heal(&mut self) {
        self.log_is_up = true;
        self.messages_are_lost = false;
        for node in &mut self.nodes {
            node.behavior = AppendBehavior::Answered;
            node.paused = false;
        }
        for _ in 0..8 {
            self.advance(5_000);
            for index in 0..self.requests.len() {
                self.settle(index, complete_answer());
            }
        }
    }

    /// Returns the outcomes of a request, in order.
    pub fn outcomes(&self, index: usize) -> &[String] {
        &self.requests[index].outcomes
    }

    fn publish_view(&mut self) {
        let members = self.nodes.iter().enumerate().map(|(index, node)| membership::Member {
            id: Bytes::copy_from_slice(&[index as u8]),
            incarnation: node.incarnation,
            failure_domain: Bytes::from_static(b"west"),
            weight: 1,
            peer_address: ([127, 0, 0, 1], 9001).into(),
            caller_address: ([127, 0, 0, 1], 9002).into(),
            leaving: false,
            joined: 0,
        });
        let view = membership::View { members: members.collect(), ..Default::default() };
        let view = sync::Arc::new(view);
        for node in 0..NODES {
            self.apply(node, claims::Event::Viewed(sync::Arc::clone(&view)));
        }
    }

    fn write_delayed(&mut self) {
        if !self.log_is_up {
            return;
        }
        let now = self.now;
        let (due, later) = self.delayed.drain(..).partition(|(at, _)| *at <= now);
        self.delayed = later;
        let due: Vec<(ids::Timestamp, Bytes)> = due;
        for (_, body) in due {
            self.write(body);
        }
    }

    fn write(&mut self, body: Bytes) -> ids::Offset {
        let offset = self.log.len() as ids::Offset + 1;
        let time_ms = u64::try_from(self.now.as_millis()).expect("a short time");
        self.log.push(log::Record { offset, time_ms, body });
        offset
    }

    fn apply(&mut self, node: usize, event: claims::Event) {
        let mut effects = Vec::new();
        self.nodes[node].claims.apply(event, self.now, &mut effects);
        for effect in effects {
            self.perform(node, effect);
        }
    }

    fn perform(&mut self, node: usize, effect: claims::Effect) {
        match effect {
            claims::Effect::Send { to, message } => self.send(node, usize::from(to[0]), message),
            claims::Effect::Append { token, body } => self.append(node, token, body),
            claims::Effect::Granted { request } => self.grant(request),
            claims::Effect::Answered { request, holder, answer } => {
                let holder = ids::request_text(holder);
                self.record(request, format!("answered by {holder} {answer:?}"));
            }
            claims::Effect::Mismatch { request } => self.record(request, "mismatch".to_owned()),
            claims::Effect::Unavailable { request } => {
                self.record(request, "unavailable".to_owned());
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: claims::Message) {
        if self.messages_are_lost || self.nodes[to].paused {
            return;
        }
        let incarnation = self.nodes[from].incarnation;
        let from = Bytes::copy_from_slice(&[from as u8]);
        self.apply(to, claims::Event::Received { from, incarnation, message });
    }

    fn append(&mut self, node: usize, token: ids::AppendToken, body: Bytes) {
        let behavior =
            if self.log_is_up { self.nodes[node].behavior } else { AppendBehavior::Refused };
        let outcome = match behavior {
            AppendBehavior::Answered => log::AppendOutcome::At(self.write(body)),
            AppendBehavior::AnswerLost => {
                self.write(body);
                log::AppendOutcome::Unknown
            }
            AppendBehavior::Delayed { ms } => {
                self.delayed.push((self.now + time::Duration::from_millis(ms), body));
                return;
            }
            AppendBehavior::Refused => log::AppendOutcome::Refused,
        };
        self.apply(node, claims::Event::Appended { token, outcome });
    }

    fn grant(&mut self, id: ids::RequestId) {
        let now = self.now;
        let Some(index) = self.requests.iter().position(|request| request.id == id) else { return };
        let key = self.requests[index].key;
        let guaranteed = constants::CLAIM_WINDOW - constants::CLAIM_TIMEOUT;
        let may_have_run = |request: &&Request| {
            request.key == key
                && !request.not_run
                && request.granted_at.is_some_and(|at| now.saturating_sub(at) < guaranteed)
        };
        let earlier: Vec<_> = self.requests.iter().filter(may_have_run).map(|r| r.id).collect();
        self.double_grants.extend(earlier.into_iter().map(|earlier| (earlier, id)));
        self.requests[index].granted_at = Some(now);
        self.record(id, "granted".to_owned());
    }

    fn record(&mut self, id: ids::RequestId, outcome: String) {
        let request = self.requests.iter_mut().find(|request| request.id == id);
        request.expect("only known requests have outcomes").outcomes.push(outcome);
    }
}

/// Returns a complete answer of a backend server.
pub fn complete_answer() -> claims::Answer {
    claims::Answer::Complete {
        status: 201,
        content_type: Bytes::from_static(b"application/json"),
        body: Bytes::from_static(b"{}"),
    }
}
