//! Judges a run from the ledgers of the stand-ins and the callers' samples alone.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::sample::{Kind, Outcome, Sample};
use super::workload;
use crate::engine::ledger;
use crate::plain;

/// Time after which a withdrawn key must be refused.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(5);

/// Time around the loss of an instance in which its connections may break.
const LOSS_MARGIN: Duration = Duration::from_secs(1);

/// Longest time that a histogram tells apart.
const LONGEST_TIME_US: u64 = 600_000_000;

/// What the stand-ins have recorded.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Ledgers {
    /// Of each engine.
    pub engines: Vec<ledger::Records>,
    /// Of each plain server.
    pub plains: Vec<plain::Records>,
}

/// What was done to the system during a run. Times count from its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Events {
    /// Instances that were killed, by their address for callers.
    pub lost: Vec<(Duration, SocketAddr)>,
    /// Workspaces whose keys were withdrawn.
    pub withdrawn: Vec<(Duration, usize)>,
}

/// Percentiles of a time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[allow(missing_docs)]
pub struct Percentiles {
    pub count: u64,
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// What one workspace got.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Share {
    /// Name of the workspace.
    pub workspace: String,
    /// Language requests sent.
    pub sent: usize,
    /// Language requests refused.
    pub refused: usize,
    /// Requests refused although they were within rate and burst.
    pub wrongly_refused: usize,
    /// Tokens of the requests that met both targets.
    pub good_tokens: u64,
    /// The lesser of the tokens asked for and the tokens allowed.
    pub fair_tokens: u64,
    /// Good tokens as a share of the fair ones.
    pub share: f64,
    /// Tokens delivered above burst and rate in the worst window.
    pub over_admitted_tokens: u64,
}

/// Faults that must not occur; each is a count.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Tokens delivered above burst and rate.
    pub over_admitted_tokens: u64,
    /// Non-idempotent calls that ran more than once.
    pub doubled_calls: usize,
    /// Language requests answered to the end more than once.
    pub doubled_answers: usize,
    /// Accepted requests whose answer is missing, though their instance was not lost.
    pub missing_answers: usize,
    /// Answers that belong to another request.
    pub crossed_answers: usize,
    /// Refusals as "not run" of requests that ran.
    pub false_not_run: usize,
    /// Calls answered that never ran.
    pub answered_not_run: usize,
    /// Pieces of memory held after the end.
    pub orphan_pieces: u64,
    /// Requests that carried a key to a server.
    pub leaked_keys: u64,
    /// Requests that ran with a key withdrawn long before.
    pub withdrawn_key_ran: usize,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests sent.
    pub sent: usize,
    /// Language requests sent.
    pub language_sent: usize,
    /// Language requests that were not refused or cancelled.
    pub accepted: usize,
    /// Share of the accepted requests that met both targets.
    pub goodput: f64,
    /// Time to the first token.
    pub first_token: Percentiles,
    /// Mean time between tokens of a request.
    pub token_gap: Percentiles,
    /// Whole time of plain calls.
    pub plain: Percentiles,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
    /// Prompt tokens computed twice, or for requests without an answer.
    pub wasted_prefill_tokens: u64,
    /// Prompt tokens computed for requests that their callers cancelled.
    pub cancelled_prefill_tokens: u64,
    /// Wasted tokens as a share of all computed.
    pub wasted_prefill_share: f64,
    /// Requests refused although they were within rate and burst.
    pub wrongly_refused: usize,
    /// Answers that broke off because their instance was lost.
    pub cut_by_loss: usize,
    /// Requests of which the system says that they may have run.
    pub unknown: usize,
    /// The workspace with the least share.
    pub worst_served: Share,
    /// Refusals by type.
    pub refusals: BTreeMap<String, usize>,
    /// Each workspace.
    pub workspaces: Vec<Share>,
    /// What must be nought.
    pub violations: Violations,
}

/// What the engines have done for one prompt.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    prefill_tokens: u64,
    largest_prefill_tokens: u64,
    answers: usize,
    ran: bool,
}

/// Judges a run of `length`.
pub fn judge(
    workload: &workload::Workload,
    length: Duration,
    samples: &[Sample],
    ledgers: &Ledgers,
    events: &Events,
) -> Figures {
    let work = work_by_digest(ledgers);
    let calls = calls_by_id(ledgers);
    let shares: Vec<Share> = (0..workload.workspaces.len())
        .map(|workspace| share(workload, workspace, length, samples, events))
        .collect();
    let language: Vec<&Sample> = of_kind(samples, Kind::Language).collect();
    let accepted: Vec<&Sample> =
        language.iter().copied().filter(|sample| is_accepted(sample)).collect();
    let good = accepted.iter().filter(|sample| is_good(workload, sample)).count();
    let executions = ledgers.engines.iter().flat_map(|engine| &engine.executions);
    let mut figures = Figures {
        sent: samples.len(),
        language_sent: language.len(),
        accepted: accepted.len(),
        goodput: ratio(good as f64, accepted.len() as f64),
        first_token: percentiles(accepted.iter().filter_map(|sample| sample.first_token())),
        token_gap: percentiles(accepted.iter().filter_map(|sample| sample.mean_gap())),
        plain: percentiles(
            samples
                .iter()
                .filter(|sample| sample.kind != Kind::Language)
                .filter(|sample| sample.outcome == Outcome::Answered)
                .map(|sample| sample.ended.saturating_sub(sample.sent)),
        ),
        prefill_tokens: work.values().map(|work| work.prefill_tokens).sum(),
        cached_tokens: executions.map(|execution| execution.cached_tokens).sum(),
        wrongly_refused: shares.iter().map(|share| share.wrongly_refused).sum(),
        cut_by_loss: samples.iter().filter(|sample| is_cut(sample, events)).count(),
        unknown: count(samples, Outcome::Unknown),
        violations: violations(samples, ledgers, events, &work, &calls),
        ..Figures::default()
    };
    judge_waste(&mut figures, &language, &work);
    let refused = samples.iter().filter(|sample| !sample.reason.is_empty());
    for sample in refused {
        let name = format!("{} {}", sample.status, sample.reason);
        *figures.refusals.entry(name).or_default() += 1;
    }
    let worst = shares.iter().min_by(|one, other| one.share.total_cmp(&other.share));
    figures.worst_served = worst.cloned().unwrap_or_default();
    figures.violations.over_admitted_tokens =
        shares.iter().map(|share| share.over_admitted_tokens).sum();
    figures.workspaces = shares;
    figures
}

fn of_kind(samples: &[Sample], kind: Kind) -> impl Iterator<Item = &Sample> {
    samples.iter().filter(move |sample| sample.kind == kind)
}

fn count(samples: &[Sample], outcome: Outcome) -> usize {
    samples.iter().filter(|sample| sample.outcome == outcome).count()
}

fn is_accepted(sample: &Sample) -> bool {
    !matches!(sample.outcome, Outcome::RefusedNotRun | Outcome::Cancelled)
}

fn is_good(workload: &workload::Workload, sample: &Sample) -> bool {
    let within = |time: Option<Duration>, limit_ms: f64| {
        time.is_none_or(|time| time.as_secs_f64() * 1_000.0 <= limit_ms)
    };
    sample.outcome == Outcome::Answered
        && within(sample.first_token(), workload.first_token_ms)
        && within(sample.mean_gap(), workload.token_ms)
}

/// Whether an answer is missing because the instance that was asked was lost meanwhile.
fn is_cut(sample: &Sample, events: &Events) -> bool {
    let is_hit = |(at, address): &(Duration, SocketAddr)| {
        sample.target == Some(*address)
            && sample.sent <= *at + LOSS_MARGIN
            && sample.ended + LOSS_MARGIN >= *at
    };
    sample.outcome == Outcome::Missing && events.lost.iter().any(is_hit)
}

fn work_by_digest(ledgers: &Ledgers) -> HashMap<&str, Work> {
    let mut by_digest: HashMap<&str, Work> = HashMap::new();
    for execution in ledgers.engines.iter().flat_map(|engine| &engine.executions) {
        let work = by_digest.entry(execution.digest.as_str()).or_default();
        work.prefill_tokens += execution.prefill_tokens;
        work.largest_prefill_tokens = work.largest_prefill_tokens.max(execution.prefill_tokens);
        work.ran |= execution.ran;
        let is_answer = execution.kind != ledger::Kind::Prefill && execution.delivered;
        work.answers += usize::from(is_answer);
    }
    by_digest
}

fn calls_by_id(ledgers: &Ledgers) -> HashMap<&str, usize> {
    let mut by_id = HashMap::new();
    for call in ledgers.plains.iter().flat_map(|plain| &plain.calls) {
        *by_id.entry(call.id.as_str()).or_default() += 1;
    }
    by_id
}

fn judge_waste(figures: &mut Figures, language: &[&Sample], work: &HashMap<&str, Work>) {
    let outcomes: HashMap<&str, Outcome> =
        language.iter().map(|sample| (sample.id.as_str(), sample.outcome)).collect();
    for (digest, work) in work {
        match outcomes.get(digest) {
            Some(Outcome::Answered) => {
                figures.wasted_prefill_tokens += work.prefill_tokens - work.largest_prefill_tokens;
            }
            Some(Outcome::Cancelled) => figures.cancelled_prefill_tokens += work.prefill_tokens,
            _ => figures.wasted_prefill_tokens += work.prefill_tokens,
        }
    }
    figures.wasted_prefill_share =
        ratio(figures.wasted_prefill_tokens as f64, figures.prefill_tokens as f64);
}

fn violations(
    samples: &[Sample],
    ledgers: &Ledgers,
    events: &Events,
    work: &HashMap<&str, Work>,
    calls: &HashMap<&str, usize>,
) -> Violations {
    let ran = |sample: &Sample| match sample.kind {
        Kind::Language => work.get(sample.id.as_str()).is_some_and(|work| work.ran),
        Kind::Order => calls.contains_key(sample.id.as_str()),
        Kind::Enquiry => false,
    };
    let executions = ledgers.engines.iter().flat_map(|engine| &engine.executions);
    let leaks = ledgers.engines.iter().map(|engine| engine.authorization_seen);
    let plain_leaks = ledgers.plains.iter().map(|plain| plain.authorization_seen);
    Violations {
        over_admitted_tokens: 0,
        doubled_calls: calls.values().filter(|times| **times > 1).count(),
        doubled_answers: work.values().filter(|work| work.answers > 1).count(),
        missing_answers: count(samples, Outcome::Missing)
            - samples.iter().filter(|sample| is_cut(sample, events)).count(),
        crossed_answers: count(samples, Outcome::Crossed),
        false_not_run: samples
            .iter()
            .filter(|sample| sample.outcome == Outcome::RefusedNotRun && ran(sample))
            .count(),
        answered_not_run: samples
            .iter()
            .filter(|sample| sample.outcome == Outcome::Answered && sample.kind != Kind::Enquiry)
            .filter(|sample| !ran(sample))
            .count(),
        orphan_pieces: executions.map(|execution| execution.held_pieces).sum(),
        leaked_keys: leaks.chain(plain_leaks).sum(),
        withdrawn_key_ran: samples
            .iter()
            .filter(|sample| is_after_withdrawal(sample, events) && ran(sample))
            .count(),
    }
}

fn is_after_withdrawal(sample: &Sample, events: &Events) -> bool {
    let is_late = |(at, workspace): &(Duration, usize)| {
        sample.workspace == *workspace && sample.sent > *at + WITHDRAWAL_LIMIT
    };
    events.withdrawn.iter().any(is_late)
}

fn share(
    workload: &workload::Workload,
    index: usize,
    length: Duration,
    samples: &[Sample],
    events: &Events,
) -> Share {
    let workspace = &workload.workspaces[index];
    let own: Vec<&Sample> =
        of_kind(samples, Kind::Language).filter(|sample| sample.workspace == index).collect();
    let withdrawn = events.withdrawn.iter().any(|(_, withdrawn)| *withdrawn == index);
    let allowed = workspace.rate_tokens_per_s as f64 * length.as_secs_f64();
    let allowed = allowed as u64 + workspace.burst_tokens;
    let asked = own.iter().filter(|sample| sample.outcome != Outcome::Cancelled);
    let asked: u64 = asked.map(|sample| sample.reserved_tokens()).sum();
    let good = own.iter().filter(|sample| is_good(workload, sample));
    let good_tokens = good.map(|sample| sample.reserved_tokens()).sum();
    let fair_tokens = asked.min(allowed);
    let refused = own.iter().filter(|sample| sample.outcome == Outcome::RefusedNotRun).count();
    Share {
        workspace: workspace.id.clone(),
        sent: own.len(),
        refused,
        wrongly_refused: if withdrawn { 0 } else { wrongly_refused(workspace, &own) },
        good_tokens,
        fair_tokens,
        share: if withdrawn { 1.0 } else { ratio(good_tokens as f64, fair_tokens as f64) },
        over_admitted_tokens: over_admitted(workspace, &own),
    }
}

/// Counts refusals of requests for which a token bucket, kept by the callers, had tokens both when
/// they were sent and when they were refused. Accepted requests are charged their reservation when
/// they are sent and get back what they have not used when they end.
fn wrongly_refused(workspace: &workload::Workspace, own: &[&Sample]) -> usize {
    let mut steps: Vec<(Duration, usize, bool)> = Vec::new();
    for (index, sample) in own.iter().enumerate() {
        steps.push((sample.sent, index, false));
        steps.push((sample.ended, index, true));
    }
    steps.sort();
    let burst = workspace.burst_tokens as f64;
    let mut level = burst;
    let mut at = Duration::ZERO;
    let mut had_tokens = HashSet::new();
    let mut wrong = 0;
    for (time, index, is_end) in steps {
        level += (time - at).as_secs_f64() * workspace.rate_tokens_per_s as f64;
        level = level.min(burst);
        at = time;
        let sample = own[index];
        let reserved = sample.reserved_tokens() as f64;
        let refused = sample.outcome == Outcome::RefusedNotRun;
        match (refused, is_end) {
            (true, false) => {
                if level >= reserved {
                    had_tokens.insert(index);
                }
            }
            (true, true) => wrong += usize::from(had_tokens.contains(&index) && level >= reserved),
            (false, false) => level -= reserved,
            (false, true) => level += reserved - sample.used_tokens() as f64,
        }
    }
    wrong
}

/// Tokens above burst and rate in the worst window. A request is admitted between its sending and
/// its first token; only those for which both lie within a window count in it.
fn over_admitted(workspace: &workload::Workspace, own: &[&Sample]) -> u64 {
    let mut admitted: Vec<(Duration, Duration, u64)> = own
        .iter()
        .filter_map(|sample| Some((sample.first?, sample.sent, sample.used_tokens())))
        .collect();
    admitted.sort();
    let mut worst = 0.0_f64;
    for (_, start, _) in &admitted {
        let mut tokens = 0;
        for (first, _, used) in admitted.iter().filter(|(_, sent, _)| sent >= start) {
            tokens += used;
            let window_s = first.saturating_sub(*start).as_secs_f64();
            let allowed = window_s * workspace.rate_tokens_per_s as f64;
            worst = worst.max(tokens as f64 - allowed - workspace.burst_tokens as f64);
        }
    }
    worst.floor() as u64
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

fn percentiles(times: impl Iterator<Item = Duration>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(LONGEST_TIME_US, 3) else {
        return Percentiles::default();
    };
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        count: histogram.len(),
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
        max_ms: histogram.max() as f64 / 1_000.0,
    }
}
