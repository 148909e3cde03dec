//! Learns the speed and the failures of each server.

use xxhash_rust::xxh3;

use crate::core::ids;
use crate::core::placement::constants;
use crate::core::scheduler;

/// The weight of a new sample in the moving means.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The prefill weight of a server has this many steps for each doubling of its speed.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// How many steps the speed must differ from the weight before the weight changes, so that servers
/// do not lose their prefixes through small variations.
const STEP_HYSTERESIS: f64 = 0.8;

/// The lowest probability with which a sampled server is accepted for decode.
const MIN_ACCEPTANCE: f64 = 0.1;

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

/// The learned speeds and recent failures of all servers, by index.
#[derive(Debug, Default)]
pub struct Speeds {
    servers: Vec<Speed>,
    max_slots: u32,
}

impl Speeds {
    /// Adds a server with the next index.
    pub fn add(&mut self, id: &ids::ServerId, slots: u32) {
        self.max_slots = self.max_slots.max(slots);
        self.servers.push(Speed {
            seed: xxh3::xxh3_64(id),
            prefill_tokens_per_s: constants::INITIAL_PREFILL_TOKENS_PER_S,
            prefill_step: 0.0,
            prefill_weight: 1.0,
            inter_token_ms: constants::INITIAL_INTER_TOKEN_MS,
            slots,
            failures: 0,
            avoid_until: ids::Timestamp::ZERO,
        });
    }

    /// Copies what was learned of a server under a former index; its slots are the new document's.
    pub fn copy_from(&mut self, index: usize, former: &Speeds, former_index: usize) {
        let slots = self.servers[index].slots;
        self.servers[index] = Speed { slots, ..former.servers[former_index].clone() };
    }

    /// Updates a server's speed or failures from an observation.
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
            scheduler::Phase::Prefill if observation.tokens < constants::MIN_PREFILL_SAMPLE => {}
            scheduler::Phase::Prefill => speed.learn_prefill(tokens * 1_000.0 / elapsed_ms),
            scheduler::Phase::Decode if observation.tokens == 0 => {}
            scheduler::Phase::Decode => {
                speed.inter_token_ms +=
                    SAMPLE_WEIGHT * (elapsed_ms / tokens - speed.inter_token_ms);
            }
        }
    }

    /// Returns whether a server is avoided, since it failed several times in a row recently.
    pub fn is_avoided(&self, server: usize, now: ids::Timestamp) -> bool {
        self.servers[server].avoid_until > now
    }

    /// Returns a server's rendezvous score for a hash; the highest wins.
    pub fn prefill_score(&self, server: usize, hash: u64) -> f64 {
        let speed = &self.servers[server];
        let mixed_hash = xxh3::xxh3_64_with_seed(&hash.to_le_bytes(), speed.seed);
        let uniform = ((mixed_hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -speed.prefill_weight / uniform.ln()
    }

    /// Returns the probability with which a sampled server is accepted for decode. It follows from
    /// the slots, relative to the server with the most, and the time between tokens.
    pub fn decode_acceptance(&self, server: usize) -> f64 {
        let speed = &self.servers[server];
        let slot_share = f64::from(speed.slots) / f64::from(self.max_slots.max(1));
        let relative_speed = constants::INITIAL_INTER_TOKEN_MS / speed.inter_token_ms.max(1.0);
        (slot_share * relative_speed.min(1.0)).clamp(MIN_ACCEPTANCE, 1.0)
    }
}

impl Speed {
    fn learn_prefill(&mut self, sample: f64) {
        self.prefill_tokens_per_s += SAMPLE_WEIGHT * (sample - self.prefill_tokens_per_s);
        let relative = self.prefill_tokens_per_s / constants::INITIAL_PREFILL_TOKENS_PER_S;
        let step = relative.max(f64::MIN_POSITIVE).log2() * STEPS_PER_DOUBLING;
        if (step - self.prefill_step).abs() < STEP_HYSTERESIS {
            return;
        }
        self.prefill_step = step.round();
        self.prefill_weight = (self.prefill_step / STEPS_PER_DOUBLING).exp2();
    }
}
