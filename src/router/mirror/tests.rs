//! Tests that older and newer builds read each other's responses.

use bytes::Bytes;

use super::*;

fn response() -> SyncResponse {
    let entry = |id: &'static str, version: &str| servers::Entry {
        id: Bytes::from(id),
        service: "service".into(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "a".to_string(),
        slots: 4,
        is_draining: false,
        stage: None,
        cold_ms: 0,
        lacks_cold_time: false,
        born_ms: 1,
        software_version: Some(version.into()),
        offset: 7,
    };
    SyncResponse {
        age_ms: Some(5),
        content: None,
        entries: vec![entry("one", "v1"), entry("other", "v2")],
        removals: Vec::new(),
        names: None,
        servers_position: 8,
        history: None,
        evacuations: vec![evacuation::Report {
            domain: "a".to_string(),
            position: 9,
            is_in_force: true,
            age_ms: 40,
        }],
    }
}

#[test]
fn the_software_versions_of_servers_reach_a_peer() {
    let decoded = decode(&encode(&response()).expect("it is encoded")).expect("it is decoded");
    assert_eq!(decoded.entries, response().entries);
}

#[test]
fn evacuations_reach_a_peer_that_gets_its_configuration_from_this_instance() {
    let decoded = decode(&encode(&response()).expect("it is encoded")).expect("it is decoded");
    assert_eq!(decoded.evacuations, response().evacuations);
}

#[test]
fn the_bounds_on_cold_servers_reach_a_peer_and_older_builds_leave_them_unknown() {
    let bound = catalog::ColdBound { start: time::Duration::from_secs(8), per_s: 12.5 };
    let service =
        catalog::Service { name: "service".into(), engine: None, cold_bound: Some(bound) };
    let content = catalog::Content {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        workspaces: None,
        caller_limits: catalog::CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            idle: time::Duration::from_secs(1),
        },
    };
    let response = SyncResponse { content: Some(content), ..response() };
    let decoded = decode(&encode(&response).expect("it is encoded")).expect("it is decoded");
    assert_eq!(decoded.content, response.content);
    let old = rmp_serde::to_vec(&response).expect("it is encoded");
    let from_old = decode(&old).expect("the response of an older build is decoded").content;
    assert!(catalog::Catalog::new(from_old.expect("it is sent")).lacks_cold_bounds());
}

#[test]
fn a_response_without_an_extension_and_one_with_it_are_read_by_builds_of_both_kinds() {
    let old = rmp_serde::to_vec(&response()).expect("it is encoded");
    let from_old = decode(&old).expect("the response of an older build is decoded");
    assert!(from_old.entries.iter().all(|entry| entry.software_version.is_none()));
    assert!(from_old.evacuations.is_empty());
    let new = encode(&response()).expect("it is encoded");
    assert!(new.starts_with(&old));
    let by_old: SyncResponse = rmp_serde::from_slice(&new).expect("an older build decodes it");
    assert_eq!(by_old.servers_position, 8);
}
