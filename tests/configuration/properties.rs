//! Properties of a fleet of reducers under random schedules of faults, and of the parsers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use galenayard::core::configuration::{self, ProposalOutcome, record};
use galenayard::core::reducer::Reducer;
use galenayard::core::{ids, log};
use galenayard::document;
use galenayard::settings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::fleet::{Fault, Fleet, document};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const STEPS_TO_AGREE: usize = 60;

/// Short enough that snapshots are appended within a schedule and older records can expire.
const LOG_RETENTION: Duration = Duration::from_secs(4);
const SEED: [u8; 32] = *b"configuration of galenayard 0001";

/// One action of a schedule.
#[derive(Debug, Clone)]
enum Action {
    Step,
    Wait,
    Deliver { count: usize },
    Propose { node: usize, rate: u64, fault: u8, lag: u64 },
    Retry { node: usize },
    Read { node: usize },
    Lose { count: usize },
    Duplicate,
    Reorder,
    Log(bool),
    ReadsLog { node: usize, on: bool },
    ReachesPeers { node: usize, on: bool },
    Restart { node: usize },
    Garbage,
    Expire,
}

fn action() -> impl Strategy<Value = Action> {
    let node = 0..NAMES.len();
    prop_oneof![
        3 => Just(Action::Step),
        6 => Just(Action::Wait),
        8 => (1..8usize).prop_map(|count| Action::Deliver { count }),
        6 => (node.clone(), 1..1_000u64, 0..4u8, 0..3u64)
            .prop_map(|(node, rate, fault, lag)| Action::Propose { node, rate, fault, lag }),
        2 => node.clone().prop_map(|node| Action::Retry { node }),
        3 => node.clone().prop_map(|node| Action::Read { node }),
        3 => (1..6usize).prop_map(|count| Action::Lose { count }),
        2 => Just(Action::Duplicate),
        2 => Just(Action::Reorder),
        2 => any::<bool>().prop_map(Action::Log),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, on)| Action::ReadsLog { node, on }),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, on)| Action::ReachesPeers { node, on }),
        1 => node.prop_map(|node| Action::Restart { node }),
        1 => Just(Action::Garbage),
        1 => Just(Action::Expire),
    ]
}

fn fault(number: u8) -> Fault {
    [Fault::None, Fault::AnswerLost, Fault::Lost, Fault::Refused][usize::from(number)]
}

/// A fleet, with what the checks need to remember: the last proposal, and the highest version of
/// each instance.
struct TestRun {
    fleet: Fleet,
    next_id: u128,
    last: Option<(u128, u64, u64)>,
    highest: BTreeMap<String, u64>,
    digests: BTreeMap<u64, ids::Digest>,
}

impl TestRun {
    fn new() -> Self {
        let mut fleet = Fleet::with_retention(&NAMES, LOG_RETENTION);
        fleet.step();
        let highest = BTreeMap::new();
        Self { fleet, next_id: 1, last: None, highest, digests: BTreeMap::new() }
    }

    fn perform(&mut self, action: &Action) {
        let fleet = &mut self.fleet;
        match action {
            Action::Step => fleet.step(),
            Action::Wait => fleet.step_without_delivery(),
            Action::Deliver { count } => fleet.deliver_some(*count),
            Action::Propose { node, rate, fault: number, lag } => {
                let version = fleet.nodes[NAMES[*node]].reducer.status(fleet.now).version;
                let base = version.saturating_sub(*lag);
                fleet.fault = fault(*number);
                fleet.propose(NAMES[*node], self.next_id, base, "ada", &document(*rate, &[1]));
                fleet.fault = Fault::None;
                self.last = Some((self.next_id, base, *rate));
                self.next_id += 1;
            }
            Action::Retry { node } => {
                let Some((id, base, rate)) = self.last else { return };
                fleet.propose(NAMES[*node], id, base, "ada", &document(rate, &[1]));
            }
            Action::Read { node } => fleet.read(NAMES[*node]),
            Action::Lose { count } => fleet.drop_messages(*count),
            Action::Duplicate => fleet.duplicate(),
            Action::Reorder => fleet.reorder(),
            Action::Log(up) => fleet.log_is_up = *up,
            Action::ReadsLog { node, on } => fleet.node(NAMES[*node]).reads_log = *on,
            Action::ReachesPeers { node, on } => fleet.node(NAMES[*node]).reaches_peers = *on,
            Action::Restart { node } => {
                self.highest.remove(NAMES[*node]);
                fleet.start(NAMES[*node]);
            }
            Action::Garbage => {
                fleet.put(Bytes::from_static(b"\x01garbage"));
            }
            Action::Expire => {
                let retained_from = fleet.retained_from();
                fleet.expire(retained_from);
            }
        }
    }

    /// Checks the invariants that must hold at any time.
    fn check(&mut self) {
        for (name, node) in &self.fleet.nodes {
            let version = node.reducer.current().map_or(0, |snapshot| snapshot.version);
            let highest = self.highest.entry(name.clone()).or_default();
            assert!(version >= *highest, "{name} fell from {highest} to {version}");
            *highest = version;
            assert!(node.versions.is_sorted_by(|one, other| one < other));
            for entry in node.reducer.history() {
                let digest = *self.digests.entry(entry.version).or_insert(entry.digest);
                assert_eq!(digest, entry.digest, "two documents of version {}", entry.version);
            }
        }
    }

    /// Ends all faults, or all but those between peers, and runs until the instances agree.
    fn heal(&mut self, peers: bool) {
        self.fleet.log_is_up = true;
        for node in self.fleet.nodes.values_mut() {
            node.reads_log = true;
            node.reaches_peers = peers;
        }
        self.fleet.steps(STEPS_TO_AGREE);
    }

    /// Checks that all instances agree after the faults have ended.
    fn check_end(&self) {
        let expected = self.fleet.effective();
        for (name, node) in &self.fleet.nodes {
            let version = node.reducer.status(self.fleet.now).version;
            assert_eq!(version, expected.last().map_or(0, |(version, _)| *version), "{name}");
            assert_eq!(node.fresh, version > 0, "{name}");
        }
        let mut accepted = BTreeMap::new();
        for (_, proposal, outcome) in &self.fleet.outcomes {
            if let ProposalOutcome::Accepted { version } = outcome {
                let other = accepted.insert(*proposal, *version);
                assert!(other.is_none_or(|other| other == *version), "{proposal} twice");
            }
        }
        for (version, proposal) in &expected {
            let conflict = self.fleet.outcomes.iter().any(|(_, id, outcome)| {
                id == proposal && matches!(outcome, ProposalOutcome::Conflict { .. })
            });
            assert!(!conflict, "{proposal} made version {version} and was refused");
        }
    }
}

/// Returns a runner with a fixed seed; `GALENAYARD_CASES` sets another number of cases.
fn runner(cases: u32) -> TestRunner {
    let wanted = std::env::var("GALENAYARD_CASES").ok().and_then(|cases| cases.parse().ok());
    let config =
        Config { cases: wanted.unwrap_or(cases), failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

#[test]
fn versions_never_fall_and_all_instances_agree_in_the_end() {
    let actions = (prop::collection::vec(action(), 1..120), any::<bool>());
    let result = runner(400).run(&actions, |(actions, peers)| {
        let mut test_run = TestRun::new();
        for action in &actions {
            test_run.perform(action);
            test_run.check();
        }
        test_run.heal(peers);
        test_run.check();
        test_run.check_end();
        Ok(())
    });
    result.unwrap();
}

#[test]
fn one_winner_for_each_base() {
    let rates = prop::collection::vec(1..1_000u64, 2..5);
    let result = runner(200).run(&rates, |rates| {
        let mut fleet = Fleet::new(&NAMES);
        fleet.step();
        for (index, rate) in rates.iter().enumerate() {
            fleet.propose(NAMES[index], index as u128 + 1, 0, "ada", &document(*rate, &[1]));
        }
        fleet.steps(2);
        let accepted: Vec<u128> = fleet
            .outcomes
            .iter()
            .filter(|(_, _, outcome)| matches!(outcome, ProposalOutcome::Accepted { .. }))
            .map(|(_, id, _)| *id)
            .collect();
        let conflicts = fleet
            .outcomes
            .iter()
            .filter(|(_, _, outcome)| matches!(outcome, ProposalOutcome::Conflict { .. }))
            .count();
        prop_assert_eq!((accepted.len(), conflicts), (1, rates.len() - 1));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn no_bytes_panic_the_parsers() {
    let sample = document(100, &[1, 2]);
    let bytes = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..300),
        edited(sample.clone()),
        edited(include_str!("../../samples/document.toml").to_string()),
        edited(include_str!("../../samples/settings.toml").to_string()),
    ];
    let result = runner(2_000).run(&bytes, |bytes| {
        let _ = document::parse(&bytes, document::Environment::Trial);
        let _ = settings::Settings::parse(&String::from_utf8_lossy(&bytes));
        let _ = record::Record::decode(&Bytes::from(bytes));
        Ok(())
    });
    result.unwrap();
}

/// Generates a text with some ranges of bytes replaced or removed, or with bytes inserted.
fn edited(text: String) -> impl Strategy<Value = Vec<u8>> {
    let length = text.len();
    let edit = (0..length, 0..40usize, prop::collection::vec(any::<u8>(), 0..8));
    prop::collection::vec(edit, 1..4).prop_map(move |edits| {
        let mut bytes = text.clone().into_bytes();
        for (start, count, inserted) in edits {
            let start = start.min(bytes.len());
            let end = (start + count).min(bytes.len());
            bytes.splice(start..end, inserted);
        }
        bytes
    })
}

#[test]
fn no_record_panics_a_reader() {
    let mut fleet = Fleet::new(&["a"]);
    fleet.step();
    fleet.propose("a", 1, 0, "ada", &document(100, &[1, 2]));
    fleet.step();
    let snapshot = record::Record::Snapshot(record::Checkpoint {
        next: 2,
        version: 1,
        document: None,
        history: fleet.nodes["a"].reducer.history().cloned().collect(),
    });
    let samples = prop::sample::select(vec![fleet.records[0].body.clone(), snapshot.encode()]);
    let records = (samples, any::<prop::sample::Index>(), any::<u8>(), any::<bool>());
    let result = runner(1_000).run(&records, |(sample, index, byte, sealed)| {
        let mut bytes = sample.to_vec();
        let index = index.index(bytes.len());
        bytes[index] = byte;
        if sealed {
            let checksum = xxhash_rust::xxh3::xxh3_64(&bytes[9..]);
            bytes[1..9].copy_from_slice(&checksum.to_le_bytes());
        }
        let mut reducer = configuration::Configuration::new(Bytes::from_static(b"a"), 1);
        let record = log::Record { offset: 1, time_ms: 1, body: Bytes::from(bytes) };
        let batch = log::Batch {
            requested_at: ids::Timestamp::ZERO,
            first: 1,
            next: 2,
            records: vec![record],
        };
        let mut effects = Vec::new();
        reducer.apply(configuration::Event::Read(batch), ids::Timestamp::ZERO, &mut effects);
        let applied = reducer.current().map(|snapshot| snapshot.digest);
        let original = configuration::content::digest(document(100, &[1, 2]).as_bytes());
        prop_assert!(applied.is_none() || applied == Some(original));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn edits_restore_the_document() {
    let texts = ("[ab]{0,40}", "[ab]{0,40}");
    let result = runner(1_000).run(&texts, |(base, body)| {
        let (base, body) = (Bytes::from(base), Bytes::from(body));
        let edit = configuration::content::Content::between(&base, &body);
        prop_assert_eq!(edit.resolve(Some(&base)), Some(body));
        Ok(())
    });
    result.unwrap();
}
