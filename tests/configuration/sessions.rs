//! Sessions of a small fleet: snapshots of the trace of effects that a script of events leads to.

use bytes::Bytes;
use galenayard::core::configuration::{Event, Message, content, record};
use galenayard::document::Environment;

use crate::fleet::{Fault, Fleet, document};

/// Returns three instances with one document in force, and an empty trace.
fn running() -> Fleet {
    let mut fleet = first_steps();
    fleet.trace.clear();
    fleet
}

fn first_steps() -> Fleet {
    let mut fleet = Fleet::new(&["a", "b", "c"]);
    fleet.step();
    fleet.propose("a", 1, 0, "ada", &document(100, &[1, 2]));
    fleet.step();
    fleet
}

fn change(proposal: u128, base: u64, body: &str) -> record::Change {
    record::Change {
        proposal,
        base,
        author: Bytes::from_static(b"eve"),
        environment: Environment::Production,
        digest: content::digest(body.as_bytes()),
        content: content::Content::Full(Bytes::from(body.to_string())),
    }
}

#[test]
fn first_document() {
    let mut fleet = first_steps();
    fleet.steps(2);
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn racing_operators() {
    let mut fleet = running();
    fleet.note("both appends are sent before either record is read");
    fleet.propose("a", 2, 1, "ada", &document(200, &[1, 2]));
    fleet.propose("b", 3, 1, "bob", &document(300, &[1, 2]));
    fleet.step();
    fleet.note("the operator who lost proposes on the version in force");
    fleet.propose("b", 4, 2, "bob", &document(300, &[1, 2]));
    fleet.step();
    fleet.note("a base that is out of date is refused without an append");
    fleet.propose("c", 5, 2, "eve", &document(400, &[1, 2]));
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn base_that_this_instance_has_not_read_yet() {
    let mut fleet = running();
    fleet.propose("a", 2, 1, "ada", &document(200, &[1, 2]));
    fleet.read("a");
    fleet.note("b has not read version 2");
    fleet.propose("b", 3, 2, "ada", &document(300, &[1, 2]));
    fleet.step();
    fleet.step();
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn answer_lost_after_effect() {
    let mut fleet = running();
    fleet.fault = Fault::AnswerLost;
    fleet.propose("a", 2, 1, "ada", &document(200, &[1, 2]));
    fleet.fault = Fault::None;
    fleet.note("the operator asks again at another instance before the record is read");
    fleet.propose("a", 2, 1, "ada", &document(200, &[1, 2]));
    fleet.step();
    fleet.note("and again after it was read");
    fleet.propose("b", 2, 1, "ada", &document(200, &[1, 2]));
    assert_eq!(fleet.records.len(), 2);
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn append_lost_and_sent_again() {
    let mut fleet = running();
    fleet.fault = Fault::Lost;
    fleet.propose("a", 2, 1, "ada", &document(200, &[1, 2]));
    fleet.fault = Fault::None;
    fleet.steps(51);
    fleet.trace.clear();
    fleet.note("the outcome was reported as unknown; the operator asks again");
    fleet.propose("a", 2, 1, "ada", &document(200, &[1, 2]));
    fleet.steps(2);
    insta::assert_snapshot!(fleet.report());
    assert_eq!(fleet.outcomes.len(), 3);
}

#[test]
fn late_copy_of_a_record_has_no_effect() {
    let mut fleet = running();
    let copy = fleet.records[0].body.clone();
    fleet.propose("a", 2, 1, "ada", &document(200, &[1]));
    fleet.step();
    fleet.put(copy);
    let again = fleet.records[1].body.clone();
    fleet.put(again);
    fleet.step();
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn refused_append() {
    let mut fleet = running();
    fleet.fault = Fault::Refused;
    fleet.propose("a", 2, 1, "ada", &document(200, &[1, 2]));
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn log_down_and_start_through_peers() {
    let mut fleet = running();
    fleet.log_is_up = false;
    fleet.steps(40);
    fleet.trace.clear();
    fleet.note("the log has been down for 4 s");
    fleet.start("d");
    fleet.steps(12);
    fleet.note("a proposal has no effect");
    fleet.propose("d", 2, 1, "ada", &document(200, &[1, 2]));
    let report = fleet.report();
    fleet.trace.clear();
    fleet.steps(51);
    let decided = fleet.lines("ProposalDecided");
    insta::assert_snapshot!(format!("{report}\n{decided}\n\n{}", fleet.summary()));
}

#[test]
fn start_with_neither_log_nor_peers() {
    let mut fleet = running();
    fleet.log_is_up = false;
    fleet.steps(40);
    fleet.start("d");
    fleet.nodes.get_mut("d").unwrap().reaches_peers = false;
    fleet.steps(100);
    let node = &fleet.nodes["d"];
    assert!(node.reducer.current().is_none());
    assert!(!node.fresh && node.versions.is_empty());
}

#[test]
fn instance_cut_from_log_and_peers_stops_trusting_keys() {
    let mut fleet = running();
    fleet.note("c is cut off");
    let node = fleet.nodes.get_mut("c").unwrap();
    node.reads_log = false;
    node.reaches_peers = false;
    fleet.propose("a", 2, 1, "ada", &document(100, &[2]));
    fleet.steps(32);
    assert!(!fleet.nodes["c"].fresh);
    assert!(!fleet.nodes["c"].reducer.are_keys_fresh(fleet.now));
    fleet.trace.clear();
    fleet.note("c receives messages from its peers again");
    fleet.nodes.get_mut("c").unwrap().reaches_peers = true;
    fleet.steps(6);
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn paused_instance_is_not_fresh_before_its_first_tick() {
    let fleet = running();
    let reducer = &fleet.nodes["a"].reducer;
    assert!(reducer.are_keys_fresh(fleet.now));
    assert!(!reducer.are_keys_fresh(fleet.now + std::time::Duration::from_secs(60)));
}

#[test]
fn withdrawn_key_and_push_to_an_instance_without_the_log() {
    let mut fleet = running();
    fleet.note("c cannot read the log");
    fleet.nodes.get_mut("c").unwrap().reads_log = false;
    fleet.propose("a", 2, 1, "ada", &document(100, &[2]));
    fleet.step();
    let snapshot = fleet.nodes["c"].reducer.current().unwrap();
    assert!(snapshot.workspace_of(&[1; 32]).is_none());
    assert!(snapshot.workspace_of(&[2; 32]).is_some());
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn records_that_change_nothing() {
    let mut fleet = running();
    let valid = document(200, &[1]);
    let whole = record::Record::Change(change(7, 1, &valid)).encode();
    fleet.put(whole.slice(..whole.len() / 2));
    fleet.put(Bytes::from(vec![1; 700 * 1024]));
    fleet.put(Bytes::from_static(b"\x09not of this release"));
    fleet.put(Bytes::new());
    fleet.put(record::Record::Change(change(8, 0, &valid)).encode());
    fleet.put(record::Record::Change(change(9, 1, "[[servers]]\nid = \"x\"\n")).encode());
    let wrong_digest = record::Change { digest: [0; 32], ..change(10, 1, &valid) };
    fleet.put(record::Record::Change(wrong_digest).encode());
    let trial = record::Change { environment: Environment::Trial, ..change(11, 1, &valid) };
    fleet.put(record::Record::Change(trial).encode());
    let content =
        content::Content::Edit { start_bytes: 9_999, end_bytes: 9, inserted: Bytes::new() };
    fleet.put(record::Record::Change(record::Change { content, ..change(12, 1, &valid) }).encode());
    let document = record::Document {
        entry: fleet.nodes["a"].reducer.current_body().unwrap().0.clone(),
        edit_of: 0,
        content: content::Content::Full(Bytes::from(valid.clone())),
    };
    let snapshot =
        record::Checkpoint { next: 5, version: 4, document: Some(document), history: Vec::new() };
    fleet.put(record::Record::Snapshot(snapshot).encode());
    fleet.trace.clear();
    fleet.read("a");
    assert_eq!(fleet.nodes["a"].versions, [1]);
    fleet.note("the next valid record takes effect");
    fleet.put(whole);
    fleet.read("a");
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn proposals_that_are_refused_before_the_log() {
    let mut fleet = running();
    fleet.propose("a", 2, 1, "ada", "[[workspaces]]\nid = \"north\"\ncolour = 1\n");
    fleet.propose("a", 3, 1, "", &document(200, &[1]));
    fleet.propose("a", 4, 1, "ada", &"#".repeat(600 * 1024));
    fleet.note("the document in force is accepted without a record");
    fleet.propose("a", 5, 1, "ada", &document(100, &[1, 2]));
    assert_eq!(fleet.records.len(), 1);
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn snapshot_before_expiry_keeps_the_version() {
    let mut fleet = running();
    fleet.propose("b", 2, 1, "bob", &document(200, &[1]));
    fleet.step();
    fleet.trace.clear();
    fleet.steps(100);
    insta::assert_snapshot!(fleet.lines("append"));
    assert_eq!(fleet.records.len(), 3);
    fleet.trace.clear();
    fleet.expire(3);
    fleet.note("d reads the log only");
    fleet.start("d");
    fleet.nodes.get_mut("d").unwrap().reaches_peers = false;
    fleet.steps(1);
    let entry = |name: &str| fleet.nodes[name].reducer.current_body().unwrap().0.clone();
    assert_eq!(entry("d"), entry("a"));
    let history = |name: &str| fleet.nodes[name].reducer.history().cloned().collect::<Vec<_>>();
    assert_eq!(history("d"), history("a"));
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn snapshot_overtaken_by_a_change() {
    let mut fleet = running();
    fleet.note("the lowest member's snapshot is appended after a change that it had not read");
    let state = record::Checkpoint {
        next: 2,
        version: 1,
        document: Some(record::Document {
            entry: fleet.nodes["a"].reducer.current_body().unwrap().0.clone(),
            edit_of: 0,
            content: content::Content::Full(Bytes::from(document(100, &[1, 2]))),
        }),
        history: Vec::new(),
    };
    fleet.propose("a", 2, 1, "ada", &document(200, &[1, 2]));
    fleet.put(record::Record::Snapshot(state).encode());
    fleet.step();
    fleet.expire(2);
    fleet.start("d");
    fleet.nodes.get_mut("d").unwrap().reaches_peers = false;
    fleet.step();
    assert_eq!(fleet.nodes["d"].reducer.current().unwrap().version, 2);
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn snapshot_by_another_member_when_the_lowest_cannot_read() {
    let mut fleet = running();
    fleet.nodes.get_mut("a").unwrap().reads_log = false;
    fleet.trace.clear();
    fleet.steps(200);
    insta::assert_snapshot!(fleet.lines("append"));
}

#[test]
fn expired_before_a_snapshot_is_learnt_from_peers() {
    let mut fleet = running();
    fleet.expire(2);
    fleet.start("d");
    fleet.steps(2);
    insta::assert_snapshot!(fleet.summary());
    let repeated = fleet.records.last().unwrap();
    let record = record::Record::decode(&repeated.body).unwrap();
    assert!(matches!(record, record::Record::Snapshot(snapshot) if snapshot.version == 1));
}

#[test]
fn log_that_lost_its_records_reverts_nothing() {
    let mut fleet = running();
    fleet.propose("a", 2, 1, "ada", &document(200, &[1]));
    fleet.step();
    fleet.trace.clear();
    fleet.note("the log starts again, empty");
    fleet.records.clear();
    fleet.nodes.values_mut().for_each(|node| node.next_read = 1);
    fleet.steps(2);
    assert!(fleet.nodes.values().all(|node| node.versions == [1, 2]));
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn batches_out_of_order() {
    let mut fleet = running();
    for id in 2..5 {
        fleet.propose("a", u128::from(id), id - 1, "ada", &document(id * 100, &[1]));
        fleet.read("a");
    }
    fleet.nodes.get_mut("b").unwrap().next_read = 4;
    fleet.read("b");
    assert_eq!(fleet.nodes["b"].reducer.status(fleet.now).waiting_records, 1);
    fleet.nodes.get_mut("b").unwrap().next_read = 2;
    fleet.read("b");
    assert_eq!(fleet.nodes["b"].versions, [1, 2, 3, 4]);
}

#[test]
fn older_version_of_a_peer_is_refused() {
    let mut fleet = running();
    let old = fleet.nodes["b"].reducer.current_body().unwrap().0.clone();
    fleet.propose("a", 2, 1, "ada", &document(200, &[1]));
    fleet.step();
    fleet.trace.clear();
    let document = record::Document {
        entry: old,
        edit_of: 0,
        content: content::Content::Full(Bytes::from(document(100, &[1, 2]))),
    };
    let state =
        record::Checkpoint { next: 9, version: 1, document: Some(document), history: Vec::new() };
    let message = Message::Answer { sequence: 1, state: Box::new(state) };
    fleet.event("a", Event::Received { from: Bytes::from_static(b"b"), message });
    assert_eq!(fleet.nodes["a"].versions, [1, 2]);
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn instance_that_has_read_nothing_does_not_append() {
    let mut fleet = running();
    fleet.start("d");
    fleet.nodes.get_mut("d").unwrap().reads_log = false;
    fleet.propose("d", 2, 0, "ada", &document(200, &[1]));
    fleet.note("d has received version 1 from its peers");
    fleet.step();
    assert_eq!(fleet.lines("d: append"), "");
    insta::assert_snapshot!(fleet.lines("d: ProposalDecided"));
}

#[test]
fn new_instance_asks_several_peers_before_it_trusts_a_document() {
    let mut fleet = running();
    fleet.note("c lags behind when the log and the peers of c become unreachable");
    fleet.nodes.get_mut("c").unwrap().reads_log = false;
    fleet.nodes.get_mut("c").unwrap().reaches_peers = false;
    fleet.propose("a", 2, 1, "ada", &document(100, &[2]));
    fleet.step();
    fleet.log_is_up = false;
    fleet.steps(25);
    fleet.trace.clear();
    fleet.nodes.get_mut("a").unwrap().reaches_peers = false;
    fleet.nodes.get_mut("b").unwrap().reaches_peers = false;
    fleet.nodes.get_mut("c").unwrap().reaches_peers = true;
    fleet.start("d");
    fleet.steps(5);
    assert_eq!(fleet.nodes["d"].versions, [1]);
    assert!(!fleet.nodes["d"].fresh);
    fleet.note("a answers as well");
    fleet.nodes.get_mut("a").unwrap().reaches_peers = true;
    fleet.nodes.get_mut("b").unwrap().reaches_peers = true;
    fleet.steps(5);
    assert_eq!(fleet.nodes["d"].versions, [1, 2]);
    assert!(fleet.nodes["d"].fresh);
}

#[test]
fn new_instance_relies_on_one_peer_when_no_other_answers() {
    let mut fleet = running();
    fleet.log_is_up = false;
    fleet.nodes.get_mut("a").unwrap().reaches_peers = false;
    fleet.nodes.get_mut("b").unwrap().reaches_peers = false;
    fleet.start("d");
    fleet.steps(5);
    assert!(!fleet.nodes["d"].fresh);
    fleet.steps(10);
    assert!(fleet.nodes["d"].fresh);
}

#[test]
fn instance_without_a_view_asks_the_instances_of_the_list() {
    let mut fleet = Fleet::new(&[]);
    fleet.add("d");
    fleet.step();
    assert_eq!(fleet.lines("send"), "");
    fleet.event(
        "d",
        Event::InstancesListed(vec![Bytes::from_static(b"d"), Bytes::from_static(b"a")]),
    );
    fleet.steps(5);
    insta::assert_snapshot!(fleet.trace);
}

#[test]
fn proposal_id_of_another_document_is_a_conflict() {
    let mut fleet = running();
    fleet.propose("a", 1, 1, "ada", &document(900, &[1]));
    insta::assert_snapshot!(fleet.report());
}

#[test]
fn base_that_never_comes() {
    let mut fleet = running();
    fleet.propose("a", 2, 9, "ada", &document(200, &[1]));
    fleet.note("d has neither the log nor peers");
    fleet.start("d");
    fleet.nodes.get_mut("d").unwrap().reads_log = false;
    fleet.nodes.get_mut("d").unwrap().reaches_peers = false;
    fleet.propose("d", 3, 1, "ada", &document(200, &[1]));
    fleet.steps(51);
    insta::assert_snapshot!(fleet.lines("ProposalDecided"));
}

#[test]
fn messages_are_small_unless_a_document_is_due() {
    let mut fleet = Fleet::new(&["a"]);
    fleet.step();
    let filler = "# filler\n".repeat(10_000);
    fleet.propose("a", 1, 0, "ada", &format!("{}{filler}", document(100, &[1, 2])));
    fleet.step();
    fleet.propose("a", 2, 1, "ada", &format!("{}{filler}", document(100, &[2])));
    fleet.step();
    let mut sizes = String::new();
    for known in [2, 1, 0] {
        let state = Box::new(fleet.nodes["a"].reducer.checkpoint(known));
        let answer = Message::Answer { sequence: u64::MAX, state };
        let size_bytes = rmp_serde::to_vec(&answer).unwrap().len();
        sizes.push_str(&format!("answer to an instance at {known}: {size_bytes} bytes\n"));
    }
    for message in [
        Message::Announce { version: u64::MAX },
        Message::Pull { sequence: u64::MAX, version: u64::MAX },
    ] {
        let size_bytes = rmp_serde::to_vec(&message).unwrap().len();
        sizes.push_str(&format!("{message:?}: {size_bytes} bytes\n"));
    }
    insta::assert_snapshot!(sizes);
}

#[test]
fn reader_that_is_far_behind_starts_from_the_newest_snapshot() {
    let mut fleet = running();
    for id in 2..=70 {
        let base = fleet.nodes["a"].reducer.current().unwrap().version;
        fleet.propose("a", id, base, "ada", &document(100 + id as u64, &[1]));
        fleet.step();
    }
    insta::assert_snapshot!(fleet.lines("snapshot"));
    fleet.start("d");
    fleet.nodes.get_mut("d").unwrap().reaches_peers = false;
    fleet.step();
    insta::assert_snapshot!(format!("{:?}", fleet.nodes["d"].versions));
    let entry = |name: &str| fleet.nodes[name].reducer.current_body().unwrap().0.clone();
    assert_eq!(entry("d"), entry("a"));
}

#[test]
fn edit_of_a_version_that_was_left_is_not_reported() {
    let mut fleet = running();
    let old = fleet.nodes["b"].reducer.current_body().unwrap().1.clone();
    fleet.propose("a", 2, 1, "ada", &document(200, &[1]));
    fleet.step();
    fleet.trace.clear();
    let mut state = fleet.nodes["b"].reducer.checkpoint(1);
    let body = Bytes::from(document(300, &[1]));
    let entry = &mut state.document.as_mut().unwrap().entry;
    (entry.version, entry.base, entry.proposal) = (3, 2, 3);
    entry.digest = content::digest(&body);
    state.document.as_mut().unwrap().content = content::Content::between(&old, &body);
    (state.version, state.next) = (3, 4);
    let message = Message::Answer { sequence: 1, state: Box::new(state) };
    fleet.event("a", Event::Received { from: Bytes::from_static(b"b"), message });
    assert_eq!(fleet.trace, "");
    assert_eq!(fleet.nodes["a"].versions, [1, 2]);
}

#[test]
fn one_member_appends_the_snapshot_that_is_due_after_an_outage() {
    let mut fleet = running();
    fleet.log_is_up = false;
    fleet.steps(400);
    fleet.trace.clear();
    fleet.log_is_up = true;
    fleet.fault = Fault::Lost;
    fleet.steps(20);
    fleet.fault = Fault::None;
    fleet.steps(80);
    insta::assert_snapshot!(fleet.lines("append"));
}
