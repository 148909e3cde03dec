//! Sessions of the placement reducer.

use std::sync;
use std::time;

use galenayard::core::collections;
use galenayard::core::configuration;
use galenayard::core::ids;
use galenayard::core::placement;
use galenayard::core::reducer::Reducer;
use galenayard::core::scheduler;
use galenayard::document;

const PREFILL: scheduler::Phase = scheduler::Phase::Prefill;
const DECODE: scheduler::Phase = scheduler::Phase::Decode;

/// A placement reducer with its clock.
struct Session {
    placement: placement::Placement,
    now: ids::Timestamp,
    requests: u64,
}

fn name(kind: char, number: usize) -> ids::ServerId {
    format!("{kind}{number}").into()
}

fn engine(id: ids::ServerId, role: document::Role) -> document::Server {
    document::Server {
        id,
        kind: document::Kind::Engine,
        role,
        failure_domain: "d".into(),
        models: vec!["m".into()],
        slots: 20,
        memory_pieces: 64,
        link_bytes_per_s: 1,
        checks_fencing: true,
        leaving: false,
        addresses: collections::Map::default(),
    }
}

fn document(prefills: usize, decodes: usize) -> document::Document {
    let prefills = (0..prefills).map(|number| engine(name('p', number), document::Role::Prefill));
    let decodes = (0..decodes).map(|number| engine(name('d', number), document::Role::Decode));
    let servers: Vec<_> = prefills.chain(decodes).collect();
    let route = document::LanguageRoute {
        id: "r".into(),
        model: "m".into(),
        servers: servers.iter().map(|server| server.id.clone()).collect(),
        workspaces: Vec::new(),
    };
    document::Document { servers, language_routes: vec![route], ..document::Document::default() }
}

impl Session {
    fn new(policy: placement::Policy, document: document::Document) -> Self {
        let placement = placement::Placement::with_policy(1, policy);
        let mut session = Self { placement, now: time::Duration::ZERO, requests: 0 };
        session.document(document);
        session
    }

    fn document(&mut self, document: document::Document) {
        let snapshot = configuration::Snapshot::new(1, [0; 32], document);
        self.apply(placement::Event::Applied(sync::Arc::new(snapshot)));
    }

    fn apply(&mut self, event: placement::Event) -> Vec<placement::Effect> {
        let mut effects = Vec::new();
        self.now += time::Duration::from_millis(1);
        self.placement.apply(event, self.now, &mut effects);
        effects
    }

    fn choose_excluding(
        &mut self,
        phase: scheduler::Phase,
        prefix: &[ids::BlockHash],
        excluded: Vec<ids::ServerId>,
    ) -> (Vec<String>, u32) {
        self.requests += 1;
        let effects = self.apply(placement::Event::Choose {
            request: ids::request_id(1, self.requests),
            phase,
            model: "m".into(),
            prefix: prefix.to_vec(),
            prompt_tokens: 256 * prefix.len() as u32 + 100,
            excluded,
        });
        let [placement::Effect::Chosen { candidates, cached_tokens, .. }] = &effects[..] else {
            panic!("one choice expected: {effects:?}");
        };
        let text = |id: &ids::ServerId| String::from_utf8_lossy(id).into_owned();
        (candidates.iter().map(text).collect(), *cached_tokens)
    }

    fn choose(&mut self, phase: scheduler::Phase, prefix: &[ids::BlockHash]) -> (Vec<String>, u32) {
        self.choose_excluding(phase, prefix, Vec::new())
    }

    fn cached(&mut self, server: &str, change: placement::CacheEvent) -> Vec<placement::Effect> {
        let server = ids::ServerId::copy_from_slice(server.as_bytes());
        self.apply(placement::Event::Cached { server, change })
    }

    fn observe(&mut self, server: &str, phase: scheduler::Phase, failed: bool) {
        let server = ids::ServerId::copy_from_slice(server.as_bytes());
        let observation =
            scheduler::Observation { server, phase, tokens: 0, elapsed_ms: 1, failed };
        self.apply(placement::Event::Observed(observation));
    }
}

fn chain(catalogue: u64, blocks: u64) -> Vec<ids::BlockHash> {
    (0..blocks).map(|block| catalogue * 1_000 + block).collect()
}

/// A prompt of a catalogue's shared blocks followed by blocks of its own.
fn prompt(catalogue: u64, own: u64) -> Vec<ids::BlockHash> {
    [chain(catalogue, 8), chain(1_000 * catalogue + own, 2)].concat()
}

#[test]
fn prompts_with_a_common_prefix_get_the_same_server_on_all_instances() {
    let policy = placement::Policy::Affinity;
    let mut first = Session::new(policy, document(6, 0));
    let mut second = Session::new(policy, document(6, 0));
    second.placement = placement::Placement::with_policy(99, policy);
    second.document(document(6, 0));
    let mut lines = Vec::new();
    for catalogue in 1..=4 {
        let one = first.choose(PREFILL, &prompt(catalogue, 1));
        let other = second.choose(PREFILL, &prompt(catalogue, 2));
        assert_eq!(one.0, other.0);
        let again = first.choose(PREFILL, &prompt(catalogue, 3));
        assert_eq!(one.0, again.0);
        lines.push((one, again.1));
    }
    insta::assert_debug_snapshot!(lines);
}

#[test]
fn a_prefix_common_to_all_prompts_does_not_fill_one_server() {
    let mut session = Session::new(placement::Policy::Affinity, document(6, 0));
    let mut firsts = collections::Map::<String, u32>::default();
    for request in 0..600u64 {
        let prefix = [chain(7, 2), chain(request % 40 + 100, 6)].concat();
        let (candidates, _) = session.choose(PREFILL, &prefix);
        if request >= 100 {
            *firsts.entry(candidates[0].clone()).or_default() += 1;
        }
    }
    let most = firsts.values().max().copied().unwrap_or(0);
    assert_eq!(firsts.len(), 6);
    assert!(most < 500 * 2 / 6, "{firsts:?}");
}

#[test]
fn cache_events_correct_the_choice_and_gaps_request_a_snapshot() {
    let prefix = chain(5, 8);
    let fresh = || Session::new(placement::Policy::Affinity, document(6, 0));
    let (candidates, cached) = fresh().choose(PREFILL, &prefix);
    let mut trace = vec![format!("at first: {candidates:?}, {cached} tokens cached")];
    let other = candidates[2].clone();
    let stored = |sequence, blocks: &[u64]| placement::CacheEvent::Stored {
        sequence,
        blocks: blocks.to_vec(),
    };
    let evicted = |sequence, blocks: &[u64]| placement::CacheEvent::Evicted {
        sequence,
        blocks: blocks.to_vec(),
    };
    let snapshot = |sequence, blocks: &[u64]| placement::CacheEvent::Snapshot {
        sequence,
        blocks: blocks.to_vec(),
    };
    let steps = [
        ("an event before any snapshot", stored(4, &prefix)),
        ("the snapshot", snapshot(5, &prefix[..2])),
        ("a late event", evicted(3, &prefix[..2])),
        ("the next event", stored(6, &prefix[2..])),
        ("a gap", stored(9, &[1])),
        ("another event before the snapshot", evicted(10, &prefix[..1])),
        ("the snapshot after the gap", snapshot(12, &prefix)),
        ("eviction of the last blocks", evicted(13, &prefix[1..])),
    ];
    for count in 1..=steps.len() {
        let mut session = fresh();
        let applied =
            steps[..count].iter().map(|(_, change)| session.cached(&other, change.clone()));
        let requested = applied.last().is_some_and(|effects| !effects.is_empty());
        let (candidates, cached) = session.choose(PREFILL, &prefix);
        let step = steps[count - 1].0;
        trace.push(format!(
            "{step}: {candidates:?}, {cached} cached, snapshot requested {requested}"
        ));
    }
    let mut session = fresh();
    session.cached(&other, snapshot(1, &prefix));
    session.now += time::Duration::from_secs(11);
    let (candidates, cached) = session.choose(PREFILL, &prefix);
    trace.push(format!("no event for 11 s: {candidates:?}, {cached} cached"));
    insta::assert_snapshot!(trace.join("\n"));
}

#[test]
fn failing_servers_come_last_and_return() {
    let mut session = Session::new(placement::Policy::Affinity, document(0, 5));
    for _ in 0..3 {
        session.observe("d0", DECODE, true);
        session.observe("d1", DECODE, true);
    }
    for _ in 0..50 {
        let (candidates, _) = session.choose(DECODE, &[]);
        assert_eq!(candidates.len(), 4);
        assert!(!["d0", "d1"].contains(&candidates[0].as_str()));
        assert!(!["d0", "d1"].contains(&candidates[1].as_str()));
    }
    session.now += time::Duration::from_secs(3);
    let seen = (0..50).any(|_| session.choose(DECODE, &[]).0[0] == "d0");
    assert!(seen);
}

#[test]
fn a_pool_whose_servers_all_fail_is_still_served() {
    let mut session = Session::new(placement::Policy::Affinity, document(2, 0));
    for _ in 0..5 {
        session.observe("p0", PREFILL, true);
        session.observe("p1", PREFILL, true);
    }
    assert_eq!(session.choose(PREFILL, &chain(1, 3)).0.len(), 2);
    let excluded = vec![name('p', 0)];
    assert_eq!(session.choose_excluding(PREFILL, &chain(1, 3), excluded).0, ["p1"]);
}

#[test]
fn leaving_and_removed_servers_are_no_candidates() {
    let mut session = Session::new(placement::Policy::Affinity, document(3, 0));
    let mut changed = document(3, 0);
    changed.servers[1].leaving = true;
    changed.servers.remove(0);
    session.document(changed);
    for own in 0..20 {
        assert_eq!(session.choose(PREFILL, &prompt(own, own)).0, ["p2"]);
    }
    session.document(document(0, 1));
    assert!(session.choose(PREFILL, &[]).0.is_empty());
}

#[test]
fn baselines_use_round_robin_or_the_least_outstanding() {
    let mut turns = Session::new(placement::Policy::RoundRobin, document(0, 3));
    let firsts: Vec<_> = (0..4).map(|_| turns.choose(DECODE, &[]).0[0].clone()).collect();
    assert_eq!(firsts, ["d1", "d2", "d0", "d1"]);
    let mut least = Session::new(placement::Policy::LeastOutstanding, document(0, 3));
    for (number, server) in ["d0", "d1", "d0"].into_iter().enumerate() {
        let request = ids::request_id(1, number as u64);
        let server = ids::ServerId::from_static(server.as_bytes());
        least.apply(placement::Event::Placed { request, phase: DECODE, server });
    }
    assert_eq!(least.choose(DECODE, &[]).0, ["d2", "d1", "d0"]);
    for number in [0, 2] {
        let request = ids::request_id(1, number);
        least.apply(placement::Event::Released { request, phase: DECODE });
    }
    assert_eq!(least.choose(DECODE, &[]).0[2], "d1");
}

#[test]
fn faster_prefill_servers_get_more_prefixes() {
    let mut session = Session::new(placement::Policy::Affinity, document(2, 0));
    for (server, elapsed_ms) in [("p0", 500), ("p1", 100)] {
        for _ in 0..80 {
            let server = ids::ServerId::copy_from_slice(server.as_bytes());
            let observation = scheduler::Observation {
                server,
                phase: PREFILL,
                tokens: 1_600,
                elapsed_ms,
                failed: false,
            };
            session.apply(placement::Event::Observed(observation));
        }
    }
    let fast = (0..400).filter(|key| session.choose(PREFILL, &chain(*key, 4)).0[0] == "p1").count();
    assert!((300..370).contains(&fast), "{fast}");
}
