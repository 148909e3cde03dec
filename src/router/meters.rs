//! Metrics of this instance, derived from its logged decisions.

use crate::core::fleet::decision;
use crate::core::fleet::view;

/// Renders all metrics.
pub trait Exposition {
    /// Returns the metrics in the Prometheus text format.
    fn render(&self) -> String;
}

fn labels(route: &str, workspace: Option<&str>) -> [(&'static str, String); 2] {
    [("route", route.to_string()), ("workspace", workspace.unwrap_or_default().to_string())]
}

fn set_evacuated_requests(domain: &str, requests: u32) {
    let labels = [("domain", domain.to_string())];
    metrics::gauge!("evacuated_requests", &labels).set(f64::from(requests));
}

/// Updates the gauges of requests in progress and of callers' connections. Requests that stay in
/// progress without a connection have lost their callers.
pub fn record_in_progress(in_progress: view::InProgress, connections: usize) {
    let view::InProgress { waiting, at_servers } = in_progress;
    metrics::gauge!("requests_in_progress", "phase" => "waiting").set(waiting as f64);
    metrics::gauge!("requests_in_progress", "phase" => "at_server").set(at_servers as f64);
    metrics::gauge!("caller_connections").set(connections as f64);
}

/// Updates the metrics that depend on a decision.
pub fn record_decision(decision: &decision::Decision) {
    match decision {
        decision::Decision::AnswerTooLong { part, .. } => {
            metrics::counter!("answers_too_long_total", "part" => part.name()).increment(1);
        }
        decision::Decision::GrantDeclined { .. } | decision::Decision::GrantEvacuated { .. } => {
            metrics::counter!("grants_declined_total").increment(1);
        }
        decision::Decision::Refused { reason, workspace, limits, .. } => {
            if limits.is_some_and(|limits| limits.unlimited_servers == 0) {
                metrics::counter!("refused_at_server_limits_total").increment(1);
            }
            let reason = format!("{reason:?}");
            let workspace = workspace.clone().unwrap_or_default();
            metrics::counter!("refused_total", "reason" => reason, "workspace" => workspace)
                .increment(1);
        }
        decision::Decision::Sent {
            step,
            repeats,
            waited_ms,
            limit_per_s,
            cold_per_s,
            stated_load,
            ..
        } => {
            if let Some(load) = stated_load {
                metrics::histogram!("server_load_age_ms").record(load.age_ms as f64);
                if let Some(reason) = load.ignored {
                    let labels = [("reason", reason.name())];
                    metrics::counter!("server_loads_ignored_total", &labels).increment(1);
                }
            }
            if *repeats > 0 {
                metrics::counter!("repeats_total", "step" => *step).increment(1);
            }
            if limit_per_s.is_some() {
                metrics::counter!("sent_within_server_limits_total", "step" => *step).increment(1);
            }
            if cold_per_s.is_some() {
                metrics::counter!("sent_to_cold_servers_total", "step" => *step).increment(1);
            }
            metrics::counter!("sent_total", "step" => *step).increment(1);
            metrics::histogram!("wait_ms", "step" => *step).record(*waited_ms as f64);
        }
        decision::Decision::HedgeSent { service, .. } => {
            let labels = [("service", service.clone())];
            metrics::counter!("hedges_sent_total", &labels).increment(1);
        }
        decision::Decision::HedgeNotSent { service, obstacle, .. } => {
            let labels = [("service", service.clone()), ("obstacle", obstacle.name().to_string())];
            metrics::counter!("hedges_not_sent_total", &labels).increment(1);
        }
        decision::Decision::HedgeEnded { service, end, extra_work_ms, .. } => {
            let labels = [("service", service.clone()), ("end", end.name().to_string())];
            metrics::counter!("hedges_ended_total", &labels).increment(1);
            let labels = [("service", service.clone())];
            if end.is_cancellation() {
                metrics::counter!("hedge_legs_cancelled_total", &labels).increment(1);
            }
            metrics::counter!("hedge_extra_work_ms_total", &labels).increment(*extra_work_ms);
        }
        decision::Decision::Started { since_arrival_ms, route, workspace, .. } => {
            let labels = labels(route, workspace.as_deref());
            metrics::histogram!("first_event_ms", &labels).record(*since_arrival_ms as f64);
        }
        decision::Decision::Ended { outcome, since_arrival_ms, route, workspace, .. } => {
            metrics::counter!("ended_total", "outcome" => outcome.clone()).increment(1);
            let labels = labels(route, workspace.as_deref());
            metrics::histogram!("answer_ms", &labels).record(*since_arrival_ms as f64);
        }
        decision::Decision::OverloadChanged { service, is_overloaded, .. } => {
            let labels = [("service", service.clone())];
            let overloaded = f64::from(u8::from(*is_overloaded));
            metrics::gauge!("service_overloaded", &labels).set(overloaded);
            metrics::counter!("overload_changes_total", &labels).increment(1);
        }
        decision::Decision::StreamResumed { source, .. } => {
            metrics::counter!("streams_resumed_total", "source" => source.name()).increment(1);
        }
        decision::Decision::StreamEnded { framing, end, .. } => {
            let labels = [("framing", framing.name()), ("end", end.name())];
            metrics::counter!("streams_ended_total", &labels).increment(1);
        }
        decision::Decision::ServerEjected { .. } => {
            metrics::counter!("ejected_total").increment(1);
        }
        decision::Decision::ServerLimitChanged {
            service,
            limited_servers,
            service_rate_per_s,
            ..
        } => {
            let labels = [("service", service.clone())];
            metrics::gauge!("limited_servers", &labels).set(*limited_servers as f64);
            metrics::gauge!("server_limit_per_s", &labels).set(*service_rate_per_s);
            metrics::counter!("server_limit_changes_total", &labels).increment(1);
        }
        decision::Decision::ServerCold { service, bound_per_s, cold_servers, .. } => {
            let labels = [("service", service.clone())];
            metrics::gauge!("cold_servers", &labels).set(*cold_servers as f64);
            let turned = if bound_per_s.is_some() { "cold" } else { "warm" };
            let labels = [("service", service.clone()), ("turned", turned.to_string())];
            metrics::counter!("server_cold_changes_total", &labels).increment(1);
        }
        decision::Decision::ServerLimitInvalid { .. } => {
            metrics::counter!("server_limits_invalid_total").increment(1);
        }
        decision::Decision::ServerLoadInvalid { .. } => {
            metrics::counter!("server_loads_ignored_total", "reason" => "invalid").increment(1);
        }
        decision::Decision::ServerLoadContradicted { is_contradicted, .. } => {
            let change = if *is_contradicted { "contradicted" } else { "confirmed" };
            metrics::counter!("server_load_trust_changes_total", "change" => change).increment(1);
        }
        decision::Decision::Configured { version, .. } => {
            metrics::gauge!("configuration_version").set(*version as f64);
        }
        decision::Decision::CallerDisconnected { .. } => {
            metrics::counter!("callers_left_total").increment(1)
        }
        decision::Decision::OwnerUnresponsive { .. } => {
            metrics::counter!("owner_silent_total").increment(1)
        }
        decision::Decision::LimitCoordinatorUnresponsive { .. } => {
            metrics::counter!("keeper_silent_total").increment(1)
        }
        decision::Decision::Coordinates { coordinates, .. } => {
            metrics::gauge!("coordinates").set(f64::from(u8::from(*coordinates)));
        }
        decision::Decision::ServerCrashed { service, reporter, .. } => {
            if reporter.is_none() {
                let labels = [("service", service.clone())];
                metrics::counter!("server_crashes_observed_total", &labels).increment(1);
            }
        }
        decision::Decision::Quarantined { quarantines, .. }
        | decision::Decision::QuarantineEnded { quarantines, .. } => {
            metrics::gauge!("quarantines").set(*quarantines as f64);
        }
        decision::Decision::DomainEvacuated {
            domain,
            is_in_force,
            delay_ms,
            evacuated_domains,
            ..
        } => {
            metrics::gauge!("evacuated_domains").set(evacuated_domains.len() as f64);
            if let Some(delay_ms) = delay_ms {
                metrics::histogram!("evacuation_delay_ms").record(*delay_ms as f64);
            }
            if !is_in_force {
                set_evacuated_requests(domain, 0);
            }
        }
        decision::Decision::DomainDraining { domain, requests, .. } => {
            set_evacuated_requests(domain, *requests);
        }
        decision::Decision::DomainDrained { domain, .. } => set_evacuated_requests(domain, 0),
        decision::Decision::DomainReturned { elapsed_ms, .. } => {
            metrics::histogram!("domain_return_ms").record(*elapsed_ms as f64);
        }
        decision::Decision::ServiceEvacuated { service, is_evacuated, .. } => {
            let labels = [("service", service.clone())];
            let value = f64::from(u8::from(*is_evacuated));
            metrics::gauge!("service_evacuated", &labels).set(value);
        }
        decision::Decision::ServerPaused { .. } => {
            metrics::counter!("server_pauses_total").increment(1);
        }
        decision::Decision::ServerLeaving { .. } => {
            metrics::counter!("servers_leaving_total").increment(1);
        }
        decision::Decision::ServerListed { .. }
        | decision::Decision::HistoryLoaded { .. }
        | decision::Decision::PeerActive { .. } => {}
    }
}
