//! Tests of restarts at machines whose time of day jumps.

use std::time;

use super::Digest;
use super::Member;
use super::Observation;
use super::Peers;
use crate::core::ids;

const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 7_000);

fn member(incarnation: ids::Incarnation, started_unix_ms: u64) -> Member {
    Member {
        name: "one".to_string(),
        incarnation,
        peer_address: ADDRESS.into(),
        caller_address: ADDRESS.into(),
        is_ready: true,
        capacity_cores: 1.0,
        started_unix_ms,
    }
}

fn digest(from: Member, sequence: u64, uptime_ms: u64) -> Digest {
    Digest {
        from,
        sequence,
        version: 1,
        servers_position: 0,
        is_coordinator: false,
        reads_store: false,
        uptime_ms,
        usage: None,
        observations: Vec::new(),
        lost: Vec::new(),
    }
}

fn at(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn live(peers: &Peers, now: ids::Timestamp) -> Vec<ids::Incarnation> {
    peers.live(now).map(|member| member.incarnation).collect()
}

/// The time of day at the start of the first process, and at that of the second one two seconds
/// later, on a machine whose clock has jumped: back, or not, or forward.
const STARTS: [(u64, u64); 3] =
    [(9_000_000, 8_000_000), (9_000_000, 9_002_000), (9_000_000, 9_900_000)];

#[test]
fn a_process_that_starts_after_its_clock_has_jumped_replaces_the_one_before() {
    for (first_unix_ms, second_unix_ms) in STARTS {
        let (first, second) = (member(1, first_unix_ms), member(2, second_unix_ms));
        let mut peers = Peers::default();
        assert!(peers.receive_digest(&digest(first.clone(), 5, 1_500), at(10_000)).is_some());
        let received = peers.receive_digest(&digest(second.clone(), 1, 20), at(10_600));
        assert!(received.is_some_and(|received| received.is_first), "{second_unix_ms}");
        assert_eq!(live(&peers, at(10_600)), [2], "{second_unix_ms}");
        // A datagram of the first process that was delayed.
        assert!(peers.receive_digest(&digest(first, 6, 1_600), at(10_700)).is_none());
        assert_eq!(live(&peers, at(10_700)), [2], "{second_unix_ms}");
    }
}

#[test]
fn the_process_that_a_coordinator_has_observed_last_replaces_the_one_before() {
    for (first_unix_ms, second_unix_ms) in STARTS {
        let (first, second) = (member(1, first_unix_ms), member(2, second_unix_ms));
        let mut peers = Peers::default();
        let observation = |member: &Member, age_ms| Observation { member: member.clone(), age_ms };
        peers.observe(&observation(&first, 100), at(10_000));
        peers.observe(&observation(&second, 50), at(10_600));
        assert_eq!(live(&peers, at(10_600)), [2], "{second_unix_ms}");
        // A coordinator that has not received a digest of the second process yet.
        peers.observe(&observation(&first, 800), at(10_700));
        assert_eq!(live(&peers, at(10_700)), [2], "{second_unix_ms}");
    }
}

#[test]
fn the_announcement_of_a_process_that_has_ended_is_ignored() {
    let mut peers = Peers::default();
    peers.receive_digest(&digest(member(2, 9_002_000), 1, 20), at(10_600));
    peers.discover(&member(1, 9_000_000), at(10_700));
    assert_eq!(peers.known().map(|member| member.incarnation).collect::<Vec<_>>(), [2]);
}

#[test]
fn a_peer_speaks_only_the_level_that_its_present_process_has_stated() {
    let mut peers = Peers::default();
    let (first, second) = (member(1, 9_000_000), member(2, 9_002_000));
    peers.receive_digest(&digest(first, 5, 1_500), at(10_000));
    assert!(peers.speaks(1, 0) && !peers.speaks(1, 1));
    peers.record_protocol_level(1, 1);
    assert!(peers.speaks(1, 1) && !peers.speaks(1, 2));
    // An older build may have taken its place.
    peers.receive_digest(&digest(second, 1, 20), at(12_000));
    assert!(!peers.speaks(2, 1));
}
