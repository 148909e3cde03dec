//! Golden files of whole sessions.

use galenayard::core::ids;
use galenayard::core::scheduler;
use galenayard::document;

use crate::fleet;

const MEMBERS: [(&str, ids::Incarnation); 3] = [("a", 10), ("b", 20), ("c", 30)];
const DECODE: scheduler::Phase = scheduler::Phase::Decode;
const PREFILL: scheduler::Phase = scheduler::Phase::Prefill;

fn steady() -> fleet::Transport {
    Box::new(|| vec![2])
}

/// Two decode servers with one slot each, one prefill server.
fn document() -> document::Document {
    document::Document {
        workspaces: vec![fleet::workspace("w", 1), fleet::workspace("v", 1)],
        servers: vec![
            fleet::server("d1", document::Role::Decode, 1, 8),
            fleet::server("d2", document::Role::Decode, 1, 8),
            fleet::server("p1", document::Role::Prefill, 4, 8),
        ],
        ..document::Document::default()
    }
}

/// A fleet after the handover grace.
fn settled(document: document::Document) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(&MEMBERS, document, steady());
    fleet.run(700);
    fleet.trace.clear();
    fleet.outcomes.clear();
    fleet
}

fn request(client: &str, sequence: u64) -> ids::RequestId {
    let member = MEMBERS.iter().find(|(id, _)| *id == client).expect("member");
    ids::request_id(member.1, sequence)
}

fn place_decode(fleet: &mut fleet::Fleet, client: &str, sequence: u64) {
    let demand = fleet::demand(request(client, sequence), DECODE, "w");
    fleet.place(client, demand, &["d1", "d2"]);
    fleet.run(20);
}

fn held(request: ids::RequestId) -> Vec<scheduler::HeldRequest> {
    vec![scheduler::HeldRequest { request, pieces: 1, age_ms: 0 }]
}

#[test]
fn late_binding_takes_the_first_grant_of_two() {
    let mut fleet = settled(document());
    place_decode(&mut fleet, "a", 1);
    place_decode(&mut fleet, "b", 1);
    fleet.note("both servers are full: the third request queues at both");
    place_decode(&mut fleet, "c", 1);
    fleet.note("the second server is released first");
    fleet.release("b", request("b", 1), DECODE);
    fleet.run(20);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").queued + fleet.usage("d2").queued, 0);
}

#[test]
fn cancel_while_queued_leaves_nothing() {
    let mut fleet = settled(document());
    place_decode(&mut fleet, "a", 1);
    place_decode(&mut fleet, "b", 1);
    place_decode(&mut fleet, "c", 1);
    fleet.note("the caller of the queued request disconnects");
    fleet.release("c", request("c", 1), DECODE);
    fleet.run(20);
    fleet.release("a", request("a", 1), DECODE);
    fleet.run(20);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").queued + fleet.usage("d2").queued, 0);
    assert_eq!(fleet.usage("d1").reservations, 0);
}

#[test]
fn scheduler_killed_with_requests_queued_and_running() {
    let mut fleet = settled(document());
    let owner = fleet.owner("d1");
    let owner = std::str::from_utf8(&owner).expect("name").to_owned();
    let clients: Vec<_> = MEMBERS.into_iter().filter(|(id, _)| *id != owner).collect();
    let [(first, _), (second, _)] = clients[..] else { panic!("two other members") };
    let ask = |client, sequence| fleet::demand(request(client, sequence), DECODE, "w");
    fleet.place(first, ask(first, 1), &["d1"]);
    fleet.place(second, ask(second, 1), &["d1"]);
    fleet.run(20);
    fleet.note("the owner of d1 crashes and is evicted from the others' views");
    fleet.kill(&owner);
    fleet.view(&clients);
    fleet.run(400);
    let before = fleet.usage("d1");
    assert_eq!((before.reservations, before.queued), (1, 1));
    fleet.note("the running request ends");
    fleet.release(first, request(first, 1), DECODE);
    fleet.run(400);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").reservations, 1);
}

#[test]
fn reservations_of_a_crashed_client_are_released() {
    let mut fleet = settled(document());
    place_decode(&mut fleet, "c", 1);
    place_decode(&mut fleet, "b", 1);
    place_decode(&mut fleet, "a", 1);
    fleet.note("c and b crash, and a new process of b starts");
    fleet.kill("c");
    fleet.kill("b");
    fleet.start("b", 21);
    fleet.view(&[("a", 10), ("b", 21)]);
    fleet.run(700);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").reservations + fleet.usage("d2").reservations, 1);
}

#[test]
fn leaving_server_gets_no_new_work() {
    let mut fleet = settled(document());
    place_decode(&mut fleet, "a", 1);
    place_decode(&mut fleet, "b", 1);
    place_decode(&mut fleet, "c", 1);
    fleet.note("d1 is leaving");
    let mut changed = document();
    changed.servers[0].leaving = true;
    fleet.document(changed);
    fleet.run(20);
    fleet.release("a", request("a", 1), DECODE);
    fleet.run(20);
    assert_eq!(fleet.usage("d1").reservations, 0);
    fleet.note("d2 is taken out of the document");
    let mut changed = document();
    changed.servers[0].leaving = true;
    changed.servers.remove(1);
    fleet.document(changed);
    fleet.run(20);
    insta::assert_snapshot!(fleet.trace);
}

#[test]
fn old_and_repeated_grants_change_nothing() {
    let mut fleet = settled(document());
    place_decode(&mut fleet, "b", 1);
    let owner = fleet.owner("d1");
    let grant = |addressee, ticket| scheduler::Message::Grant { addressee, ticket };
    fleet.note("the grant comes again");
    fleet.deliver(&owner, 10, "b", grant(20, 1));
    fleet.run(20);
    fleet.note("a grant for an older process of the same name");
    fleet.deliver(&owner, 10, "b", grant(19, 1));
    fleet.run(20);
    fleet.note("the request has ended when the grant comes a third time");
    fleet.release("b", request("b", 1), DECODE);
    fleet.deliver(&owner, 10, "b", grant(20, 1));
    fleet.run(20);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").reservations, 0);
}

fn observe(fleet: &mut fleet::Fleet, client: &str, tokens: u32, elapsed_ms: u32) {
    let observation = scheduler::Observation {
        server: fleet::key("d1"),
        phase: DECODE,
        tokens,
        elapsed_ms,
        failed: false,
    };
    fleet.event(client, scheduler::Event::Observed(observation));
}

#[test]
fn limit_follows_the_inter_token_target() {
    let mut wide = document();
    wide.servers[0].slots = 20;
    wide.servers[0].memory_pieces = 100;
    let mut fleet = settled(wide);
    fleet.quiet();
    let mut limits = Vec::new();
    for sequence in 1..=40 {
        let demand = fleet::demand(request("a", sequence), DECODE, "w");
        fleet.place("a", demand, &["d1"]);
    }
    for token_ms in [30, 30, 30, 60, 60, 60, 39, 39, 30, 30] {
        for _ in 0..10 {
            observe(&mut fleet, "a", 20, 20 * token_ms);
            let decodes = scheduler::Phase::Decode;
            let running = fleet.outcomes.iter().rev().find_map(|(_, effect)| match effect {
                scheduler::Effect::Placed { request, .. } => Some(*request),
                _ => None,
            });
            let running = running.expect("a running request");
            fleet.release("a", running, decodes);
            let demand = fleet::demand(running, decodes, "w");
            fleet.place("a", demand, &["d1"]);
            fleet.run(200);
        }
        limits.push((token_ms, fleet.usage("d1").decode_limit));
    }
    insta::assert_debug_snapshot!(limits);
}

fn fail(fleet: &mut fleet::Fleet, client: &str, sequence: u64) {
    let observation = scheduler::Observation {
        server: fleet::key("d1"),
        phase: DECODE,
        tokens: 0,
        elapsed_ms: 0,
        failed: true,
    };
    fleet.event(client, scheduler::Event::Observed(observation));
    fleet.release(client, request(client, sequence), DECODE);
}

#[test]
fn failing_server_is_ejected_and_readmitted_slowly() {
    let mut wide = document();
    wide.servers[0].slots = 8;
    wide.servers[1].slots = 8;
    let mut fleet = settled(wide);
    for sequence in 1..=5 {
        let demand = fleet::demand(request("a", sequence), DECODE, "w");
        fleet.place("a", demand, &["d1"]);
        fail(&mut fleet, "a", sequence);
    }
    fleet.note("ejected: the next request goes to the other server");
    let demand = fleet::demand(request("a", 6), DECODE, "w");
    fleet.place("a", demand, &["d1", "d2"]);
    fleet.run(20);
    fleet.note("three requests that may use only d1");
    for sequence in 7..=9 {
        let demand = fleet::demand(request("a", sequence), DECODE, "w");
        fleet.place("a", demand, &["d1"]);
    }
    fleet.run(1_500);
    assert_eq!(fleet.usage("d1").reservations, 1);
    fleet.note("the first one succeeds, so two may run");
    observe(&mut fleet, "a", 20, 600);
    let placed = fleet.outcomes.iter().rev().find_map(|(_, effect)| match effect {
        scheduler::Effect::Placed { request, .. } => Some(*request),
        _ => None,
    });
    fleet.release("a", placed.expect("a probe"), DECODE);
    fleet.run(400);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").reservations, 2);
}

#[test]
fn orphans_are_canceled_and_live_requests_are_not() {
    let mut fleet = settled(document());
    place_decode(&mut fleet, "b", 1);
    let owner = fleet.owner("d1");
    let owner = std::str::from_utf8(&owner).expect("name").to_owned();
    let listed = [request("b", 1), request("c", 7), ids::request_id(99, 1)];
    let list = |fleet: &mut fleet::Fleet, requests: &[ids::RequestId]| {
        let held = requests.iter().flat_map(|request| held(*request)).collect();
        let server = fleet::key("d1");
        fleet.event(&owner, scheduler::Event::HeldRequestsListed { server, held });
    };
    fleet.note("held: one with a reservation, one that c does not know any more, one of an unknown process");
    list(&mut fleet, &listed);
    fleet.run(800);
    list(&mut fleet, &listed);
    fleet.run(20);
    fleet.note("b crashes, so its request is an orphan");
    fleet.kill("b");
    fleet.view(&[("a", 10), ("c", 30)]);
    list(&mut fleet, &listed[..1]);
    fleet.run(800);
    list(&mut fleet, &listed[..1]);
    insta::assert_snapshot!(fleet.trace);
}

#[test]
fn place_whose_release_was_lost_is_freed_after_a_check() {
    let mut fleet = settled(document());
    place_decode(&mut fleet, "b", 1);
    let owner = fleet.owner("d1");
    assert_ne!(owner, "b");
    fleet.note("b loses its state and does not know the reservation any more");
    fleet.start("b", 20);
    fleet.view_of(&fleet::key("b"), &MEMBERS);
    fleet.run(4_000);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").reservations, 0);
}

#[test]
fn prefill_is_granted_ahead_only_for_a_short_window() {
    let mut fleet = settled(document());
    for sequence in 1..=3 {
        let mut demand = fleet::demand(request("b", sequence), PREFILL, "w");
        demand.work_tokens = 4_000;
        fleet.place("b", demand, &["p1"]);
    }
    fleet.run(20);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!((fleet.usage("p1").reservations, fleet.usage("p1").queued), (1, 2));
}

#[test]
fn invalid_scheduler_grants_nothing() {
    let mut fleet = settled(document());
    fleet.event("a", scheduler::Event::Validity { valid: false });
    place_decode(&mut fleet, "b", 1);
    assert_eq!(fleet.owner("d1"), "a");
    assert_eq!(fleet.usage("d1").reservations, 0);
    insta::assert_snapshot!(fleet.trace);
}

#[test]
fn requests_waiting_inside_the_engine_shrink_the_limit() {
    let mut wide = document();
    wide.servers[0].slots = 20;
    let mut fleet = settled(wide);
    place_decode(&mut fleet, "a", 1);
    let before = fleet.usage("d1").decode_limit;
    let owner = fleet.owner("d1");
    for queued in [0, 1, 2, 8, 8, 0] {
        fleet.run(1_100);
        let server = fleet::key("d1");
        let load = scheduler::Load { server, running: 1, queued, free_pieces: 1, age_ms: 250 };
        fleet.apply(&owner, scheduler::Event::LoadReported(load));
    }
    assert_eq!(before - fleet.usage("d1").decode_limit, 3);
}

#[test]
fn a_lost_registration_is_repeated_within_the_grace() {
    let mut dropped = 0;
    let mut fleet = settled(document());
    place_decode(&mut fleet, "b", 1);
    fleet.transport(Box::new(move || {
        dropped += 1;
        if dropped <= 2 { Vec::new() } else { vec![2] }
    }));
    fleet.note("a crashes, and the first two messages after that are lost");
    fleet.kill("a");
    fleet.view(&[("b", 20), ("c", 30)]);
    fleet.run(600);
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").reservations, 1);
}

#[test]
fn messages_are_small() {
    let server = ids::ServerId::from_static(b"decode-07");
    let report = scheduler::message::Report {
        tokens: 480,
        elapsed_ms: 12_000,
        observations: 3,
        failures: 0,
    };
    let ask = scheduler::message::ReservationRequest {
        ticket: 70_000,
        sequence: 50_000,
        server: server.clone(),
        decode: true,
        workspace: ids::WorkspaceId::from_static(b"workspace-3"),
        work_tokens: 300,
        memory_pieces: 3,
        age_ms: 200,
        slack_ms: 1_100,
        report: None,
    };
    let (addressee, ticket) = (u32::MAX, 70_000);
    let refusal = scheduler::message::Refusal::Full;
    let messages = [
        scheduler::Message::Reserve(ask.clone()),
        scheduler::Message::Reserve(scheduler::message::ReservationRequest {
            report: Some(report),
            ..ask
        }),
        scheduler::Message::Grant { addressee, ticket },
        scheduler::Message::Queued { addressee, ticket, wait_ms: 800 },
        scheduler::Message::Refuse { addressee, ticket, refusal },
        scheduler::Message::Release { server: server.clone(), ticket, report: None },
        scheduler::Message::Release { server, ticket, report: Some(report) },
    ];
    let mut sizes = String::new();
    for message in messages {
        let bytes = rmp_serde::to_vec(&message).expect("encoded");
        assert_eq!(rmp_serde::from_slice::<scheduler::Message>(&bytes).expect("decoded"), message);
        let text = format!("{message:?}");
        let name = text.split([' ', '(', '{']).next().expect("name");
        sizes.push_str(&format!("{:>3} bytes {name}\n", bytes.len()));
    }
    insta::assert_snapshot!(sizes);
}

#[test]
fn a_live_request_unknown_to_its_scheduler_is_registered_and_not_canceled() {
    let mut fleet = settled(document());
    place_decode(&mut fleet, "b", 1);
    fleet.note("the owner loses its state, and b does not notice");
    fleet.start("a", 10);
    fleet.view_of(&fleet::key("a"), &MEMBERS);
    fleet.run(700);
    for _ in 0..3 {
        let (server, held) = (fleet::key("d1"), held(request("b", 1)));
        fleet.event("a", scheduler::Event::HeldRequestsListed { server, held });
        fleet.run(800);
    }
    insta::assert_snapshot!(fleet.trace);
    assert_eq!(fleet.usage("d1").reservations, 1);
    let cancel =
        |(_, effect): &(_, scheduler::Effect)| matches!(effect, scheduler::Effect::Cancel { .. });
    assert!(!fleet.outcomes.iter().any(cancel));
}

#[test]
fn another_server_is_tried_when_the_owner_of_both_candidates_is_unresponsive() {
    let names = ["d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"];
    let servers = names.map(|name| fleet::server(name, document::Role::Decode, 1, 8)).to_vec();
    let workspaces = vec![fleet::workspace("w", 1)];
    let mut fleet =
        settled(document::Document { workspaces, servers, ..document::Document::default() });
    let owned = |id: &&str| names.iter().filter(|name| fleet.owner(name) == *id).count();
    let lost = MEMBERS.iter().map(|member| member.0).max_by_key(owned).expect("owner");
    let (silent, others): (Vec<_>, Vec<_>) =
        names.into_iter().partition(|name| fleet.owner(name) == lost);
    let client = MEMBERS.iter().map(|member| member.0).find(|id| *id != lost).expect("client");
    fleet.kill(lost);
    fleet.note("the view still names the lost instance");
    let demand = fleet::demand(request(client, 1), DECODE, "w");
    fleet.place(client, demand, &[silent[0], silent[1], others[0]]);
    fleet.run(400);
    insta::assert_snapshot!(fleet.trace);
}
