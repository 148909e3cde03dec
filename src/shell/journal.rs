//! Writes a log line and updates the metrics when a request ends.

use crate::core::ids;
use crate::core::request;

/// Writes the log line of a request that has ended and updates the metrics.
pub fn record(request: ids::RequestId, summary: &request::Summary) {
    let workspace = text(summary.workspace.as_ref());
    let route = text(summary.route.as_ref());
    let outcome = outcome_name(summary.outcome);
    let reason = summary.refusal.as_ref().map_or("none", |refusal| refusal.reason.name());
    log::info!(
        request = ids::request_text(request),
        workspace = workspace,
        route = route,
        outcome = outcome,
        reason = reason,
        first_token_ms = summary.first_token_ms.unwrap_or_default(),
        whole_ms = summary.whole_ms,
        prompt_tokens = summary.usage.prompt_tokens,
        completion_tokens = summary.usage.completion_tokens,
        attempts = summary.attempts;
        "request ended"
    );
    update_metrics(&workspace, &route, outcome, reason, summary);
}

fn update_metrics(
    workspace: &str,
    route: &str,
    outcome: &'static str,
    reason: &'static str,
    summary: &request::Summary,
) {
    let labels = [("workspace", workspace.to_string()), ("route", route.to_string())];
    metrics::counter!(
        "galenayard_requests_total",
        "workspace" => workspace.to_string(),
        "route" => route.to_string(),
        "outcome" => outcome,
        "reason" => reason
    )
    .increment(1);
    if let Some(first_token_ms) = summary.first_token_ms {
        metrics::histogram!("galenayard_first_token_ms", &labels).record(first_token_ms);
        record_inter_token_time(&labels, first_token_ms, summary);
    }
    metrics::histogram!("galenayard_whole_ms", &labels).record(summary.whole_ms);
    metrics::counter!("galenayard_prompt_tokens_total", &labels)
        .increment(u64::from(summary.usage.prompt_tokens));
    metrics::counter!("galenayard_completion_tokens_total", &labels)
        .increment(u64::from(summary.usage.completion_tokens));
    if summary.attempts > 2 {
        metrics::counter!("galenayard_extra_attempts_total", &labels)
            .increment(u64::from(summary.attempts - 2));
    }
}

fn record_inter_token_time(
    labels: &[(&'static str, String); 2],
    first_token_ms: u32,
    summary: &request::Summary,
) {
    let intervals = summary.usage.completion_tokens.saturating_sub(1);
    if intervals > 0 {
        let elapsed_ms = summary.whole_ms.saturating_sub(first_token_ms);
        let mean_ms = f64::from(elapsed_ms) / f64::from(intervals);
        metrics::histogram!("galenayard_inter_token_ms", labels).record(mean_ms);
    }
}

fn text(name: Option<&bytes::Bytes>) -> String {
    name.map(|name| String::from_utf8_lossy(name).into_owned()).unwrap_or_default()
}

fn outcome_name(outcome: request::Outcome) -> &'static str {
    match outcome {
        request::Outcome::Answered => "answered",
        request::Outcome::Refused => "refused",
        request::Outcome::Disconnected => "gone",
    }
}
