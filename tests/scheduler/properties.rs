//! Properties that hold for any order of events, message losses and crashes.

use galenayard::core::collections;
use galenayard::core::ids;
use galenayard::core::scheduler;
use galenayard::document;
use proptest::prelude::{Strategy, prop, prop_oneof};
use proptest::test_runner;
use xxhash_rust::xxh3;

use crate::fleet;

const DECODE: scheduler::Phase = scheduler::Phase::Decode;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const SERVERS: [&str; 2] = ["d1", "d2"];
const SLOTS: u32 = 3;
const PIECES: u32 = 7;
/// The most reservations with those granted beyond the slots for KV caches in transfer.
const MAX_RESERVATIONS: u32 = SLOTS + SLOTS / 2;
/// How long after a change of the members a new owner may not know all reservations: the lag of
/// views, its grace time, and one repetition of a lost registration.
const MAX_HANDOVER_MS: u64 = 1_000;

/// One step of a script.
#[derive(Debug, Clone)]
enum Step {
    Place { node: usize, first: usize, second: usize, pieces: u32 },
    Release { index: usize },
    Wait { ms: u64 },
    Crash { node: usize, lag_ms: u64 },
    Restart { node: usize, lag_ms: u64 },
    Leaving { server: usize, leaving: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let lag = || 0..250u64;
    prop_oneof![
        14 => (0..4usize, 0..2usize, 0..2usize, 1..4u32).prop_map(|(node, first, second, pieces)| {
            Step::Place { node, first, second, pieces }
        }),
        8 => (0..64usize).prop_map(|index| Step::Release { index }),
        8 => (20..900u64).prop_map(|ms| Step::Wait { ms }),
        1 => (0..4usize, lag()).prop_map(|(node, lag_ms)| Step::Crash { node, lag_ms }),
        1 => (0..4usize, lag()).prop_map(|(node, lag_ms)| Step::Restart { node, lag_ms }),
        1 => (0..2usize, prop::bool::ANY).prop_map(|(server, leaving)| {
            Step::Leaving { server, leaving }
        }),
    ]
}

/// The state of one request at its client.
#[derive(Debug, Clone, PartialEq)]
enum State {
    Waiting,
    Placed(ids::ServerId),
    Ended,
}

/// A run of a script, with the expected state to check against.
struct Run {
    fleet: fleet::Fleet,
    incarnations: [Option<ids::Incarnation>; 4],
    requests: Vec<(usize, ids::RequestId, u32, State)>,
    /// The requests that the engines hold, also those of crashed processes.
    engines: Vec<(ids::ServerId, ids::RequestId)>,
    leaving: [bool; 2],
    next_incarnation: ids::Incarnation,
    unchecked_until_ms: u64,
    seen: usize,
}

fn document(leaving: [bool; 2]) -> document::Document {
    let servers = SERVERS.iter().zip(leaving).map(|(id, leaving)| document::Server {
        leaving,
        ..fleet::server(id, document::Role::Decode, SLOTS, PIECES)
    });
    document::Document {
        workspaces: vec![fleet::workspace("w", 1), fleet::workspace("v", 2)],
        servers: servers.collect(),
        ..document::Document::default()
    }
}

/// Loses one message in twenty, repeats one in twenty, and delays each by up to 30 ms.
fn lossy(seed: u64) -> fleet::Transport {
    let mut count = 0u64;
    Box::new(move || {
        count += 1;
        let hash = xxh3::xxh3_64_with_seed(&count.to_le_bytes(), seed);
        let (first_ms, second_ms) = (1 + hash % 30, 1 + (hash >> 8) % 300);
        match (hash >> 32) % 20 {
            0 => Vec::new(),
            1 => vec![first_ms, second_ms],
            _ => vec![first_ms],
        }
    })
}

impl Run {
    fn new(seed: u64) -> Self {
        let members: Vec<_> = NAMES.iter().zip(1..).map(|(id, number)| (*id, number)).collect();
        let mut fleet = fleet::Fleet::new(&members, document([false; 2]), lossy(seed));
        fleet.quiet();
        Self {
            fleet,
            incarnations: [Some(1), Some(2), Some(3), Some(4)],
            requests: Vec::new(),
            engines: Vec::new(),
            leaving: [false; 2],
            next_incarnation: 5,
            unchecked_until_ms: 0,
            seen: 0,
        }
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Place { node, first, second, pieces } => self.place(node, first, second, pieces),
            Step::Release { index } => self.release(index),
            Step::Wait { ms } => self.wait(ms),
            Step::Crash { node, lag_ms } => self.crash(node, lag_ms),
            Step::Restart { node, lag_ms } => self.restart(node, lag_ms),
            Step::Leaving { server, leaving } => {
                self.leaving[server] = leaving;
                self.fleet.document(document(self.leaving));
                self.check();
            }
        }
    }

    fn place(&mut self, node: usize, first: usize, second: usize, pieces: u32) {
        let Some(incarnation) = self.incarnations[node] else { return };
        let request = ids::request_id(incarnation, self.requests.len() as u64 + 1);
        let mut demand = fleet::demand(request, DECODE, if pieces > 1 { "w" } else { "v" });
        demand.memory_pieces = pieces;
        self.requests.push((node, request, pieces, State::Waiting));
        let candidates = [SERVERS[first], SERVERS[second]];
        let candidates = if first == second { &candidates[..1] } else { &candidates[..] };
        self.fleet.place(NAMES[node], demand, candidates);
        self.check();
    }

    fn release(&mut self, index: usize) {
        let open =
            |(_, (_, _, _, state)): &(usize, &(usize, u128, u32, State))| *state != State::Ended;
        let open: Vec<_> = self.requests.iter().enumerate().filter(open).map(|(i, _)| i).collect();
        if open.is_empty() {
            return;
        }
        let (node, request, _, state) = &mut self.requests[open[index % open.len()]];
        let state = std::mem::replace(state, State::Ended);
        let (node, request) = (*node, *request);
        if let State::Placed(server) = state {
            // Every third request ends for its client while the engine still holds it.
            if !request.is_multiple_of(3) {
                self.engines.retain(|held| *held != (server.clone(), request));
            }
            let (tokens, elapsed_ms) = (20, 200);
            let observation =
                scheduler::Observation { server, phase: DECODE, tokens, elapsed_ms, failed: false };
            self.fleet.event(NAMES[node], scheduler::Event::Observed(observation));
        }
        self.fleet.release(NAMES[node], request, DECODE);
        self.check();
    }

    fn wait(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(5) {
            self.fleet.run(5);
            self.check();
            if self.fleet.now_ms % 250 < 5 {
                self.list();
            }
        }
    }

    /// Reports to each owner the requests that its engines hold.
    fn list(&mut self) {
        for server in SERVERS.map(fleet::key) {
            let here = self.engines.iter().filter(|(holder, _)| *holder == server);
            let held = here.map(|(_, request)| scheduler::HeldRequest {
                request: *request,
                pieces: 1,
                age_ms: 0,
            });
            let held: Vec<_> = held.collect();
            for id in self.fleet.names() {
                if self.fleet.nodes[&id].scheduler.usage(&server).is_some() {
                    let (server, held) = (server.clone(), held.clone());
                    self.fleet.apply(&id, scheduler::Event::HeldRequestsListed { server, held });
                }
            }
        }
        self.check();
    }

    fn canceled(&mut self, server: &ids::ServerId, request: ids::RequestId) {
        let live = self.requests.iter().any(|(_, known, _, state)| {
            *known == request && *state == State::Placed(server.clone())
        });
        assert!(!live, "a live request was canceled");
        self.engines.retain(|held| *held != (server.clone(), request));
    }

    fn crash(&mut self, node: usize, lag_ms: u64) {
        if self.incarnations.iter().flatten().count() <= 2 {
            return;
        }
        self.fleet.kill(NAMES[node]);
        self.incarnations[node] = None;
        for (owner, _, _, state) in &mut self.requests {
            if *owner == node {
                *state = State::Ended;
            }
        }
        self.spread_view(lag_ms);
    }

    fn restart(&mut self, node: usize, lag_ms: u64) {
        if self.incarnations[node].is_some() {
            return;
        }
        self.incarnations[node] = Some(self.next_incarnation);
        self.fleet.start(NAMES[node], self.next_incarnation);
        self.next_incarnation += 1;
        self.spread_view(lag_ms);
    }

    /// Applies the new view at one process after another.
    fn spread_view(&mut self, lag_ms: u64) {
        self.unchecked_until_ms = self.fleet.now_ms + MAX_HANDOVER_MS;
        let members = NAMES.iter().zip(self.incarnations);
        let members: Vec<_> = members.filter_map(|(id, i)| Some((*id, i?))).collect();
        for id in self.fleet.names() {
            self.wait(lag_ms / 4);
            self.fleet.view_of(&id, &members);
        }
        self.check();
    }

    /// Applies the outcomes, and compares the held reservations with the servers' capacity.
    fn check(&mut self) {
        self.follow_outcomes();
        let mut held = collections::Map::<ids::ServerId, (u32, u32)>::default();
        for (_, _, pieces, state) in &self.requests {
            if let State::Placed(server) = state {
                let sums = held.entry(server.clone()).or_default();
                *sums = (sums.0 + 1, sums.1 + pieces);
            }
        }
        if self.fleet.now_ms > self.unchecked_until_ms {
            for (server, (reservations, pieces)) in held {
                assert!(
                    reservations <= MAX_RESERVATIONS,
                    "{reservations} reservations held on {server:?}"
                );
                assert!(pieces <= PIECES, "{pieces} pieces held on {server:?}");
            }
        }
        for server in SERVERS {
            for node in self.fleet.nodes.values() {
                let usage = node.scheduler.usage(&fleet::key(server));
                let bound = 2 * scheduler::constants::MAX_QUEUE_ENTRIES as u32;
                assert!(usage.is_none_or(|usage| usage.queued <= bound));
            }
        }
    }

    fn follow_outcomes(&mut self) {
        for (_, effect) in std::mem::take(&mut self.fleet.outcomes) {
            let (request, next) = match effect {
                scheduler::Effect::Placed { request, server, .. } => {
                    self.engines.push((server.clone(), request));
                    (request, State::Placed(server))
                }
                scheduler::Effect::Cancel { server, request } => {
                    self.canceled(&server, request);
                    continue;
                }
                scheduler::Effect::Unplaced { request, .. } => (request, State::Ended),
                _ => continue,
            };
            let known = self.requests.iter_mut().find(|(_, known, _, _)| *known == request);
            let (_, _, _, state) = known.expect("an outcome of a known request");
            assert_eq!(*state, State::Waiting, "a second outcome of a request");
            *state = next;
            self.seen += 1;
        }
    }

    /// Releases everything, and checks that no reservation and no held request remains.
    fn finish(&mut self) {
        self.wait(31_000);
        let waiting = self.requests.iter().filter(|(_, _, _, state)| *state == State::Waiting);
        assert_eq!(waiting.count(), 0, "a request without an outcome");
        for index in 0..self.requests.len() {
            self.release(index);
        }
        while self.requests.iter().any(|(_, _, _, state)| *state != State::Ended) {
            self.release(0);
        }
        self.wait(30_000);
        assert_eq!(self.engines, [], "an engine still holds an orphaned request");
        for node in self.fleet.nodes.values() {
            assert_eq!(node.scheduler.open_reservations(), 0);
            for server in SERVERS {
                let usage = node.scheduler.usage(&fleet::key(server));
                assert!(
                    usage.is_none_or(|u| (u.reservations, u.queued, u.memory_pieces) == (0, 0, 0))
                );
            }
        }
    }
}

fn runner(cases: u32) -> test_runner::TestRunner {
    let config = test_runner::Config { cases, failure_persistence: None, ..Default::default() };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    test_runner::TestRunner::new_with_rng(config, rng)
}

#[test]
fn reservations_stay_within_capacity_in_any_order_of_events() {
    let script = (prop::num::u64::ANY, prop::collection::vec(step(), 60..240));
    let outcome = runner(48).run(&script, |(seed, steps)| {
        let mut run = Run::new(seed);
        run.wait(700);
        steps.iter().for_each(|step| run.take(step));
        run.finish();
        Ok(())
    });
    assert!(
        outcome.is_ok(),
        "{}",
        outcome.map_or_else(|fault| fault.to_string(), |()| String::new())
    );
}

/// Keeps `waiting` requests of each workspace open, each of 100 tokens that take 100 ms, and
/// returns the share of the work that each workspace was given.
fn shares(workspaces: &[(&str, u32, usize)]) -> Vec<f64> {
    let document = document::Document {
        workspaces: workspaces.iter().map(|(id, w, _)| fleet::workspace(id, *w)).collect(),
        servers: vec![fleet::server("d1", document::Role::Decode, 4, 100)],
        ..document::Document::default()
    };
    let members = [("a", 1), ("b", 2)];
    let mut fleet = fleet::Fleet::new(&members, document, Box::new(|| vec![2]));
    fleet.quiet();
    fleet.run(700);
    let mut sequence = 0;
    let mut owners = collections::Map::default();
    let mut running = Vec::new();
    let mut served = vec![0u32; workspaces.len()];
    let mut wanted: Vec<usize> = workspaces.iter().map(|(_, _, waiting)| *waiting).collect();
    while fleet.now_ms < 41_700 {
        for (index, (id, _, _)) in workspaces.iter().enumerate() {
            while wanted[index] > 0 {
                wanted[index] -= 1;
                sequence += 1;
                let (client, incarnation) = members[sequence as usize % 2];
                let request = ids::request_id(incarnation, sequence);
                owners.insert(request, (index, client));
                fleet.place(client, fleet::demand(request, DECODE, id), &["d1"]);
            }
        }
        for (_, effect) in std::mem::take(&mut fleet.outcomes) {
            match effect {
                scheduler::Effect::Placed { request, .. } => {
                    running.push((fleet.now_ms + 100, request));
                }
                scheduler::Effect::Unplaced { request, .. } => wanted[owners[&request].0] += 1,
                _ => {}
            }
        }
        let now_ms = fleet.now_ms;
        let (done, rest) = running.into_iter().partition(|(end_ms, _)| *end_ms <= now_ms);
        running = rest;
        for (_, request) in done {
            let (index, client) = owners[&request];
            served[index] += 1;
            wanted[index] += 1;
            fleet.release(client, request, DECODE);
        }
        fleet.run(1);
    }
    let total: u32 = served.iter().sum();
    served.into_iter().map(|count| f64::from(count) / f64::from(total)).collect()
}

#[test]
fn a_workspace_at_five_times_its_share_does_not_reduce_the_others_shares() {
    for waiting in [4, 8] {
        let shares = shares(&[("hog", 1, 5 * waiting), ("v", 1, waiting), ("w", 1, waiting)]);
        assert!(shares[1] >= 0.8 / 3.0 && shares[2] >= 0.8 / 3.0, "{shares:?}");
    }
}

#[test]
fn shares_follow_the_weights() {
    let shares = shares(&[("hog", 1, 40), ("v", 2, 8), ("w", 1, 8)]);
    assert!((0.45..0.55).contains(&shares[1]), "{shares:?}");
    assert!((0.2..0.3).contains(&shares[0]), "{shares:?}");
}

#[test]
fn a_full_queue_refuses_the_workspace_that_fills_it() {
    let mut run = Run::new(1);
    run.wait(700);
    let names = ["w", "v"];
    let mut refused = [0, 0];
    for sequence in 1..=400u64 {
        let workspace = if sequence > 380 { 1 } else { 0 };
        let request = ids::request_id(1, sequence);
        let mut demand = fleet::demand(request, DECODE, names[workspace]);
        demand.memory_pieces = PIECES;
        run.fleet.place("a", demand, &["d1"]);
        run.fleet.run(35);
        for (_, effect) in run.fleet.outcomes.drain(..) {
            if let scheduler::Effect::Unplaced { reason, .. } = effect {
                assert_eq!(reason, scheduler::UnplacedReason::QueueFull);
                refused[workspace] += 1;
            }
        }
    }
    assert!(refused[0] > 100, "{refused:?}");
    assert_eq!(refused[1], 0);
}
