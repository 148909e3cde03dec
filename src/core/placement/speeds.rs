//! What is learned of each server's speed and failures.

use xxhash_rust::xxh3;

use crate::core::ids;
use crate::core::placement::constants;
use crate::core::scheduler;

/// The weight of a new sample in a moving mean.
const GAIN: f64 = 0.1;

/// Steps of the weight for each doubling of the prefill speed.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// How many steps the speed must differ from the weight's before the weight follows.
const STEP_HYSTERESIS: f64 = 0.8;

/// The least probability with which a drawn server is accepted.
const LEAST_SHARE: f64 = 0.1;

#[derive(Debug, Clone)]
struct Speed {
    seed: u64,
    prefill_tokens_per_s: f64,
    prefill_step: f64,
    prefill_weight: f64,
    inter_token_ms: f64,
    slots: u32,
    failures: u32,
    avoid_until: ids::Timestamp,
}

/// The learned speeds of all servers, by index.
#[derive(Debug, Default)]
pub struct Speeds {
    servers: Vec<Speed>,
    most_slots: u32,
}

impl Speeds {
    /// Adds a server with the next index.
    pub fn add(&mut self, id: &ids::ServerId, slots: u32) {
        self.most_slots = self.most_slots.max(slots);
        self.servers.push(Speed {
            seed: xxh3::xxh3_64(id),
            prefill_tokens_per_s: constants::PREFILL_INITIAL_TOKENS_PER_S,
            prefill_step: 0.0,
            prefill_weight: 1.0,
            inter_token_ms: constants::INTER_TOKEN_INITIAL_MS,
            slots,
            failures: 0,
            avoid_until: ids::Timestamp::ZERO,
        });
    }

    /// Takes over what was learned of a server under a former index.
    pub fn inherit(&mut self, index: usize, former: &Speeds, former_index: usize) {
        let slots = self.servers[index].slots;
        self.servers[index] = Speed { slots, ..former.servers[former_index].clone() };
    }

    /// Learns from an observation.
    pub fn observe(
        &mut self,
        server: usize,
        observation: &scheduler::Observation,
        now: ids::Timestamp,
    ) {
        let speed = &mut self.servers[server];
        if observation.failed {
            speed.failures = speed.failures.saturating_add(1);
            if speed.failures >= constants::AVOID_FAILURES {
                speed.avoid_until = now + constants::AVOID_TIME;
            }
            return;
        }
        speed.failures = 0;
        let elapsed_ms = f64::from(observation.elapsed_ms.max(1));
        let tokens = f64::from(observation.tokens);
        match observation.phase {
            scheduler::Phase::Prefill if observation.tokens < constants::PREFILL_SAMPLE_TOKENS => {}
            scheduler::Phase::Prefill => speed.learn_prefill(tokens * 1_000.0 / elapsed_ms),
            scheduler::Phase::Decode if observation.tokens == 0 => {}
            scheduler::Phase::Decode => {
                speed.inter_token_ms += GAIN * (elapsed_ms / tokens - speed.inter_token_ms);
            }
        }
    }

    /// Returns whether a server has failed too often a short while ago.
    pub fn is_avoided(&self, server: usize, now: ids::Timestamp) -> bool {
        self.servers[server].avoid_until > now
    }

    /// Returns a server's score for a hash; the highest wins.
    pub fn prefill_score(&self, server: usize, hash: u64) -> f64 {
        let speed = &self.servers[server];
        let mixed = xxh3::xxh3_64_with_seed(&hash.to_le_bytes(), speed.seed);
        let uniform = ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -speed.prefill_weight / uniform.ln()
    }

    /// Returns the probability with which a drawn server is accepted for decode.
    pub fn decode_share(&self, server: usize) -> f64 {
        let speed = &self.servers[server];
        let slots = f64::from(speed.slots) / f64::from(self.most_slots.max(1));
        let pace = constants::INTER_TOKEN_INITIAL_MS / speed.inter_token_ms.max(1.0);
        (slots * pace.min(1.0)).clamp(LEAST_SHARE, 1.0)
    }
}

impl Speed {
    fn learn_prefill(&mut self, sample: f64) {
        self.prefill_tokens_per_s += GAIN * (sample - self.prefill_tokens_per_s);
        let relative = self.prefill_tokens_per_s / constants::PREFILL_INITIAL_TOKENS_PER_S;
        let step = relative.max(f64::MIN_POSITIVE).log2() * STEPS_PER_DOUBLING;
        if (step - self.prefill_step).abs() < STEP_HYSTERESIS {
            return;
        }
        self.prefill_step = step.round();
        self.prefill_weight = (self.prefill_step / STEPS_PER_DOUBLING).exp2();
    }
}
