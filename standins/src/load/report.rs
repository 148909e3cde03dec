//! The result of a run as a table.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::{fleet, judge};

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time for which requests were sent.
    pub seconds: f64,
    /// Factor on the rates of arrival.
    pub scale: f64,
    /// The figures.
    pub figures: judge::Figures,
    /// What the instances cost, if the tool has started them.
    pub cost: Option<fleet::Cost>,
}

impl Display for Report {
    fn fmt(&self, output: &mut Formatter<'_>) -> fmt::Result {
        let figures = &self.figures;
        writeln!(
            output,
            "{} seed {} for {} s at scale {}: {} requests, {} language requests, {} accepted",
            self.workload,
            self.seed,
            self.seconds,
            self.scale,
            figures.sent,
            figures.language_sent,
            figures.accepted,
        )?;
        row(output, "goodput", figures.goodput)?;
        row(output, "wasted prefill (tokens)", figures.wasted_prefill_tokens)?;
        row(output, "wasted prefill (share)", figures.wasted_prefill_share)?;
        row(output, "prefill computed (tokens)", figures.prefill_tokens)?;
        row(output, "prefill cached (tokens)", figures.cached_tokens)?;
        let (worst, share) = &figures.worst_served;
        row(output, "worst-served workspace", format_args!("{worst} {share:.3}"))?;
        row(output, "wrongly refused", figures.wrongly_refused)?;
        row(output, "cut by the loss of an instance", figures.cut_by_loss)?;
        row(output, "unknown outcomes", figures.unknown)?;
        times(output, "first token", &figures.first_token)?;
        times(output, "mean gap", &figures.token_gap)?;
        times(output, "plain call", &figures.plain)?;
        for (reason, count) in &figures.refusals {
            row(output, "refused", format_args!("{count} as {reason}"))?;
        }
        for share in &figures.workspaces {
            let text = format_args!(
                "{:.3} of its share; {} sent, {} refused, {} wrongly",
                share.share, share.sent, share.refused, share.wrongly_refused
            );
            row(output, &share.workspace, text)?;
        }
        if let Some(cost) = &self.cost {
            let text = format_args!(
                "{:.3} of a core at most, {:.3} in the mean, {} MiB at most",
                cost.cpu_share_max,
                cost.cpu_share_mean,
                cost.memory_max_bytes >> 20
            );
            row(output, "instances", text)?;
            let text = format_args!(
                "{:.1} appends/s, {:.0} bytes/s",
                cost.log_appends_per_s, cost.log_bytes_per_s
            );
            row(output, "log", text)?;
        }
        row(output, "violations", format_args!("{:?}", figures.violations))
    }
}

fn row(output: &mut Formatter<'_>, name: &str, value: impl Display) -> fmt::Result {
    writeln!(output, "  {name:<32} {value}")
}

fn times(output: &mut Formatter<'_>, name: &str, times: &judge::Percentiles) -> fmt::Result {
    let text = format_args!(
        "p50 {:.1} p95 {:.1} p99 {:.1} max {:.1} ms of {}",
        times.p50_ms, times.p95_ms, times.p99_ms, times.max_ms, times.count
    );
    row(output, name, text)
}
