//! Validation rules that involve several fields of the settings.

use std::collections;

use crate::schema;
use crate::settings;

/// The minimum number of heartbeats per lease, so that a lost heartbeat does not end the lease.
const HEARTBEATS_PER_LEASE: u64 = 3;

/// Validates the rules that involve several fields.
pub fn check(settings: &settings::Settings, text: &str) -> Result<(), schema::Faults> {
    let mut findings = schema::Findings::default();
    check_addresses(settings, &mut findings);
    check_times(settings, &mut findings);
    check_hedging(settings, &mut findings);
    if findings.is_empty() { Ok(()) } else { Err(findings.into_faults(text)) }
}

fn check_addresses(settings: &settings::Settings, findings: &mut schema::Findings) {
    let listen = schema::Path::default().key("listen");
    let addresses = [
        ("callers", settings.listen.callers),
        ("peers", settings.listen.peers),
        ("operators", settings.listen.operators),
    ];
    let mut seen = collections::BTreeMap::new();
    for (name, address) in addresses {
        if let Some(other) = seen.insert(address, name) {
            let problem = format!("the same address as `{other}`");
            findings.add(listen.key(name), problem, "give each listener an address of its own");
        }
    }
    let advertised = [
        ("callers", "advertised_callers", settings.listen.caller_address()),
        ("peers", "advertised_peers", settings.listen.peer_address()),
    ];
    for (name, other, address) in advertised {
        if address.ip().is_unspecified() {
            let problem = "not an address that others can connect to";
            let remedy = format!("set `listen.{other}` to the address of this instance");
            findings.add(listen.key(name), problem, remedy);
        }
    }
}

fn check_hedging(settings: &settings::Settings, findings: &mut schema::Findings) {
    if settings.hedging.share > 0.0 {
        let problem = "`serve` sends no hedged requests";
        let remedy = "set it to 0; `node --hedge-percent` hedges on the users' platform";
        findings.add(schema::Path::default().key("hedging").key("share"), problem, remedy);
    }
}

fn check_times(settings: &settings::Settings, findings: &mut schema::Findings) {
    let root = schema::Path::default();
    let membership = &settings.membership;
    if membership.heartbeat_ms * HEARTBEATS_PER_LEASE > membership.lease_ms {
        let problem = format!("less than {HEARTBEATS_PER_LEASE} heartbeats");
        let remedy = "raise `membership.lease_ms` or lower `membership.heartbeat_ms`";
        findings.add(root.key("membership").key("lease_ms"), problem, remedy);
    }
    let timeouts = &settings.timeouts;
    if timeouts.drain_ms < timeouts.request_ms {
        let problem = "shorter than the timeout of a request, so a shutdown would cut requests";
        let remedy = "raise `timeouts.drain_ms` to at least `timeouts.request_ms`";
        findings.add(root.key("timeouts").key("drain_ms"), problem, remedy);
    }
}
