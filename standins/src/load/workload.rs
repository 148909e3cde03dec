//! What the load tool sends: workspaces, their requests and the fleet that serves them.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde::Deserialize;
use toml::Table;

/// Bytes of prompt text in one token.
const TOKEN_BYTES: usize = 4;

/// A workload file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name of the workload.
    pub name: String,
    /// One-way latency between callers and instances.
    pub client_latency_ms: f64,
    /// Longest time to the first token of a good answer.
    pub first_token_ms: f64,
    /// Longest mean time between tokens of a good answer.
    pub token_ms: f64,
    /// What serves the requests.
    pub fleet: Fleet,
    /// The language requests.
    pub language: Language,
    /// The calls of plain services.
    pub plain: Plain,
    /// Who sends them.
    pub workspaces: Vec<Workspace>,
}

/// The fleet that a workload is meant for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of instances.
    pub instances: usize,
    /// Failure domains, over which everything is spread.
    pub failure_domains: Vec<String>,
    /// Groups of engines, with the settings of `standins engines`.
    pub engines: Vec<Table>,
    /// Plain servers, with the settings of `standins plain`.
    pub plain: Table,
    /// The log, with the settings of `standins log`.
    pub log: Table,
}

/// A range from which sizes are drawn, evenly on a logarithmic scale.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Range(pub usize, pub usize);

/// The language requests of a workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Language {
    /// Model that is asked for.
    pub model: String,
    /// Number of shared prefixes of each workspace.
    pub prefixes: usize,
    /// Length of a shared prefix.
    pub prefix_tokens: Range,
    /// Length of the rest of a prompt.
    pub suffix_tokens: Range,
    /// Largest length of an answer.
    pub output_tokens: Range,
    /// Share of requests that their callers cancel.
    pub cancelled_share: f64,
}

/// The calls of plain services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// Path of calls that may run only once.
    pub order_path: String,
    /// Path of calls that may be repeated.
    pub enquiry_path: String,
    /// Share of the enquiries.
    pub enquiry_share: f64,
    /// Share of the orders that carry an idempotency key.
    pub keyed_share: f64,
}

/// A workspace that sends requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub id: String,
    /// Its weight.
    pub weight: u32,
    /// Its rate.
    pub rate_tokens_per_s: u64,
    /// Its burst.
    pub burst_tokens: u64,
    /// Language requests that it sends.
    pub language_per_s: f64,
    /// Plain calls that it sends.
    pub plain_per_s: f64,
}

/// One request to be sent.
#[derive(Clone, Debug)]
pub struct Planned {
    /// Number of the request.
    pub number: usize,
    /// Time at which it is sent.
    pub at: Duration,
    /// Index of its workspace.
    pub workspace: usize,
    /// What is sent.
    pub work: Work,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Work {
    /// A language request.
    Language {
        /// The prompt.
        prompt: String,
        /// Largest length of the answer.
        max_tokens: usize,
        /// Time after which the caller cancels.
        cancel_after: Option<Duration>,
    },
    /// A call that may run only once.
    Order {
        /// Whether it carries an idempotency key.
        keyed: bool,
    },
    /// A call that may be repeated.
    Enquiry,
}

impl Workload {
    /// Draws the arrivals of a run: Poisson processes of each workspace, times `scale`.
    pub fn plan(&self, seed: u64, length: Duration, scale: f64) -> Vec<Planned> {
        let mut random = ChaCha12Rng::seed_from_u64(seed);
        let mut planned = Vec::new();
        for workspace in 0..self.workspaces.len() {
            let rates = &self.workspaces[workspace];
            let (language, plain) = (rates.language_per_s * scale, rates.plain_per_s * scale);
            for at in arrivals(&mut random, language, length) {
                let work = self.language_work(&mut random, seed, workspace);
                planned.push(Planned { number: 0, at, workspace, work });
            }
            for at in arrivals(&mut random, plain, length) {
                let work = self.plain_work(&mut random);
                planned.push(Planned { number: 0, at, workspace, work });
            }
        }
        planned.sort_by_key(|planned| planned.at);
        planned.iter_mut().enumerate().for_each(|(number, planned)| planned.number = number);
        planned
    }

    fn language_work(&self, random: &mut ChaCha12Rng, seed: u64, workspace: usize) -> Work {
        let language = &self.language;
        let index = random.random_range(0..language.prefixes.max(1));
        let prefix_seed = seed ^ (u64::try_from(workspace * 1_000 + index).unwrap_or(0) << 20);
        let mut shared = ChaCha12Rng::seed_from_u64(prefix_seed);
        let prefix_tokens = draw(&mut shared, language.prefix_tokens);
        let suffix_tokens = draw(random, language.suffix_tokens);
        let prompt = text(&mut shared, prefix_tokens) + &text(random, suffix_tokens);
        let max_tokens = draw(random, language.output_tokens);
        let is_cancelled = random.random_bool(language.cancelled_share);
        let cancel_ms = random.random_range(50..3_000);
        let cancel_after = is_cancelled.then(|| Duration::from_millis(cancel_ms));
        Work::Language { prompt, max_tokens, cancel_after }
    }

    fn plain_work(&self, random: &mut ChaCha12Rng) -> Work {
        if random.random_bool(self.plain.enquiry_share) {
            return Work::Enquiry;
        }
        Work::Order { keyed: random.random_bool(self.plain.keyed_share) }
    }
}

/// Draws the times of a Poisson process.
fn arrivals(random: &mut ChaCha12Rng, per_s: f64, length: Duration) -> Vec<Duration> {
    let mut at_s = 0.0;
    let times = std::iter::from_fn(|| {
        at_s -= (1.0 - random.random::<f64>()).ln() / per_s;
        (at_s < length.as_secs_f64()).then(|| Duration::from_secs_f64(at_s))
    });
    times.collect()
}

fn draw(random: &mut ChaCha12Rng, Range(low, high): Range) -> usize {
    let (low, high) = ((low.max(1) as f64).ln(), (high.max(1) as f64).ln());
    (low + (high - low) * random.random::<f64>()).exp().round() as usize
}

/// A text that no other request shares.
fn text(random: &mut impl Rng, tokens: usize) -> String {
    let words = (0..tokens.div_ceil(4)).map(|_| format!("{:015x} ", random.next_u64() >> 4));
    let mut text: String = words.collect();
    text.truncate(tokens * TOKEN_BYTES);
    text
}
