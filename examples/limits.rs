//! Measures the enforcement of limits by escrow, and compares it with the baseline policy in which
//! each instance has an equal part of every limit.
//!
//! `cargo run --release --example limits` prints a table of refusals and over-admission and one of
//! message traffic. The fleets run in this process, on simulated time.
//!
//! A wrongful refusal is one that a single token bucket for the whole fleet would not have made.

use std::io::{self, Write};
use std::time;

use galenayard::core::escrow;
use rand_chacha::rand_core::{Rng, SeedableRng};

#[path = "../tests/escrow/fleet.rs"]
#[allow(dead_code)]
mod fleet;

const WARMUP_MS: u64 = 20_000;
const RUN_MS: u64 = 60_000;
const KILL_MS: u64 = 20_000;
const RATE: u64 = 20_000;
const BURST: u64 = 60_000;
/// Mean size of a request.
const MEAN_TOKENS: u64 = 1_500;
/// Bytes that HTTP/2 and gRPC framing add to a message.
const FRAMING_BYTES: u64 = 30;

/// One request of the workload.
struct Request {
    at_ms: u64,
    workspace: usize,
    tokens: u64,
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    refusals(&mut out)?;
    traffic(&mut out)
}

fn refusals(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "6 instances, 3 failure domains, 5 workspaces of {RATE} tokens/s, burst {BURST}"
    )?;
    writeln!(
        out,
        "load  callers  event   policy      offered  refused  wrongful  tokens/ideal  over"
    )?;
    for load_percent in [60, 80, 95, 300] {
        for skewed in [false, true] {
            for killed in [false, true] {
                for policy in
                    [escrow::settings::Policy::EqualSplit, escrow::settings::Policy::Escrow]
                {
                    measure_refusals(out, load_percent, skewed, killed, policy)?;
                }
            }
        }
    }
    Ok(())
}

fn measure_refusals(
    out: &mut impl Write,
    load_percent: u64,
    skewed: bool,
    killed: bool,
    policy: escrow::settings::Policy,
) -> io::Result<()> {
    let workspaces = 5;
    let settings = escrow::settings::Settings { policy, ..escrow::settings::Settings::default() };
    let mut fleet = fleet::Fleet::new(fleet::Options {
        nodes: 6,
        workspaces,
        rate: RATE,
        burst: BURST,
        seed: 7,
        settings,
        ..fleet::Options::default()
    });
    let requests = workload(workspaces, RATE * load_percent / 100, RUN_MS, 11);
    fleet.run(WARMUP_MS);
    let crashed = 4;
    for (index, request) in requests.iter().enumerate() {
        let is_crashed = killed && request.at_ms >= KILL_MS;
        let spread = index % 6;
        let at = match (skewed, is_crashed && spread == crashed) {
            (true, _) => 0,
            (false, true) => (spread + 1 + index % 5) % 6,
            (false, false) => spread,
        };
        let (workspace, tokens) = (request.workspace, request.tokens);
        fleet.at(WARMUP_MS + request.at_ms, fleet::Action::Reserve { at, workspace, tokens });
    }
    if killed {
        fleet.at(WARMUP_MS + KILL_MS - 1, fleet::Action::Crash(crashed));
    }
    fleet.run(WARMUP_MS + RUN_MS + 2_000);
    let single_bucket = single_bucket(&requests, workspaces);
    let refused: u64 = fleet.ledgers.iter().map(|ledger| ledger.refused).sum();
    let wrongful = refused.saturating_sub(single_bucket.refused);
    let tokens: u64 = fleet.ledgers.iter().map(|ledger| ledger.admitted_tokens).sum();
    let share = tokens as f64 / single_bucket.tokens as f64;
    let callers = if skewed { "one" } else { "even" };
    let event = if killed { "killed" } else { "steady" };
    let (offered, over) = (requests.len(), fleet.violations.len());
    writeln!(
        out,
        "{load_percent:>3}%  {callers:<7}  {event:<6}  {:<10}  {offered:>7}  {refused:>7}  {wrongful:>8}  {share:>12.3}  {over:>4}",
        format!("{policy:?}"),
    )
}

/// Draws requests with exponentially distributed intervals and sizes.
fn workload(workspaces: usize, rate: u64, run_ms: u64, seed: u64) -> Vec<Request> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let per_ms = rate as f64 / MEAN_TOKENS as f64 / 1_000.0;
    for workspace in 0..workspaces {
        let mut at_ms = exponential(&mut rng) / per_ms;
        while at_ms < run_ms as f64 {
            let tokens = (exponential(&mut rng) * MEAN_TOKENS as f64) as u64;
            let tokens = tokens.clamp(50, 5 * MEAN_TOKENS);
            requests.push(Request { at_ms: at_ms as u64, workspace, tokens });
            at_ms += exponential(&mut rng) / per_ms;
        }
    }
    requests.sort_by_key(|request| request.at_ms);
    requests
}

fn exponential(rng: &mut rand_chacha::ChaCha8Rng) -> f64 {
    let unit = (rng.next_u32() as f64 + 1.0) / (u32::MAX as f64 + 2.0);
    -unit.ln()
}

/// The decisions of a single token bucket for the whole fleet that admits or refuses each request
/// on arrival.
struct SingleBucket {
    refused: u64,
    tokens: u64,
}

fn single_bucket(requests: &[Request], workspaces: usize) -> SingleBucket {
    let mut levels = vec![(BURST as f64, 0); workspaces];
    let mut single_bucket = SingleBucket { refused: 0, tokens: 0 };
    for request in requests {
        let (level, at_ms) = &mut levels[request.workspace];
        *level += (request.at_ms - *at_ms) as f64 * RATE as f64 / 1_000.0;
        *level = level.min(BURST as f64);
        *at_ms = request.at_ms;
        if *level >= request.tokens as f64 {
            *level -= request.tokens as f64;
            single_bucket.tokens += request.tokens;
        } else {
            single_bucket.refused += 1;
        }
    }
    single_bucket
}

fn traffic(out: &mut impl Write) -> io::Result<()> {
    writeln!(out)?;
    writeln!(
        out,
        "traffic by instance at half of each limit, sent; {FRAMING_BYTES} bytes of framing added"
    )?;
    writeln!(out, "nodes  spaces  req/s  msg/s  bytes/s  msg/req  bytes/req  refused")?;
    for nodes in [6, 12, 24] {
        for workspaces in [5, 50, 300] {
            for requests_per_s in [2, 15] {
                measure_traffic(out, nodes, workspaces, requests_per_s)?;
            }
        }
    }
    measure_traffic(out, 360, 300, 15)
}

fn measure_traffic(
    out: &mut impl Write,
    nodes: usize,
    workspaces: usize,
    requests_per_s: u64,
) -> io::Result<()> {
    let run_ms = 10_000;
    let demand = requests_per_s * MEAN_TOKENS;
    let mut fleet = fleet::Fleet::new(fleet::Options {
        nodes,
        domains: 16.min(nodes / 2),
        workspaces,
        rate: demand * 2,
        burst: demand * 8,
        seed: 7,
        measure_bytes: true,
        check_holders: false,
        ..fleet::Options::default()
    });
    fleet.run(WARMUP_MS);
    let before: u64 = fleet.traffic.iter().map(|traffic| traffic.messages).sum();
    let before_bytes: u64 = fleet.traffic.iter().map(|traffic| traffic.bytes).sum();
    let kinds = fleet.kinds.clone();
    let requests = workload(workspaces, demand, run_ms, 13);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(17);
    for request in &requests {
        let at = rng.next_u32() as usize % nodes;
        let (workspace, tokens) = (request.workspace, request.tokens);
        fleet.at(WARMUP_MS + request.at_ms, fleet::Action::Reserve { at, workspace, tokens });
    }
    let start = time::Instant::now();
    fleet.run(WARMUP_MS + run_ms + 2_000);
    let elapsed_s = start.elapsed().as_secs_f64();
    let messages = fleet.traffic.iter().map(|traffic| traffic.messages).sum::<u64>() - before;
    let bytes = fleet.traffic.iter().map(|traffic| traffic.bytes).sum::<u64>() - before_bytes;
    let bytes = bytes + messages * FRAMING_BYTES;
    let refused: u64 = fleet.ledgers.iter().map(|ledger| ledger.refused).sum();
    let seconds = run_ms as f64 / 1_000.0;
    writeln!(
        out,
        "{nodes:>5}  {workspaces:>6}  {:>5.0}  {:>5.1}  {:>7.0}  {:>7.2}  {:>9.0}  {refused:>7}",
        requests.len() as f64 / seconds,
        messages as f64 / seconds / nodes as f64,
        bytes as f64 / seconds / nodes as f64,
        messages as f64 / requests.len() as f64,
        bytes as f64 / requests.len() as f64,
    )?;
    if nodes == 360 {
        let percent = elapsed_s / (run_ms as f64 / 1_000.0 + 2.0) / nodes as f64 * 100.0;
        writeln!(out, "  {percent:.2}% of a core by instance, with the queue and the encoding")?;
        for (kind, traffic) in &fleet.kinds {
            let (old, old_bytes) =
                kinds.get(kind).map_or((0, 0), |traffic| (traffic.messages, traffic.bytes));
            let count = traffic.messages - old;
            let size = (traffic.bytes - old_bytes) as f64 / (count.max(1)) as f64;
            writeln!(out, "  {kind}: {count} messages of {size:.0} bytes")?;
        }
    }
    Ok(())
}
