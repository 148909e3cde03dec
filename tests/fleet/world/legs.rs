//! Second sends of requests, and plain servers whose work differs between requests.

use galenayard::core::fleet::hedging;
use rand::RngExt as _;
use rand::SeedableRng as _;

use super::*;

/// The share of requests whose work is a multiple of the usual one, and the multiple.
const LONG_SHARE: f64 = 0.01;
const LONG_WORK: f64 = 5.0;

/// A second send of a request.
#[derive(Debug, Clone)]
pub struct Hedge {
    pub request: (usize, u64),
    pub first_server: Bytes,
    pub server: Bytes,
}

/// The work of plain requests, if it is not always the same.
#[derive(Debug, Default)]
pub struct Work {
    spread: Option<rand_chacha::ChaCha8Rng>,
    /// The time that work takes at some servers, as a multiple of that at the others.
    slow: Map<Bytes, f64>,
}

impl Work {
    /// Returns the time that the next request takes at a server.
    pub fn next(&mut self, server: &Bytes) -> Duration {
        let slow = self.slow.get(server).copied().unwrap_or(1.0);
        let Some(rng) = &mut self.spread else { return WORK.mul_f64(slow) };
        // The sum of three uniform numbers has a standard deviation of a half.
        let sum: f64 = (0..3).map(|_| rng.random::<f64>()).sum();
        let is_long = rng.random::<f64>() < LONG_SHARE;
        let share = if is_long { LONG_WORK } else { (sum - 0.5).max(0.2) };
        WORK.mul_f64(share * slow)
    }
}

impl World {
    /// Spreads the work of plain requests from now on.
    pub fn spread_work(&mut self, seed: u64) {
        self.work.spread = Some(rand_chacha::ChaCha8Rng::seed_from_u64(seed));
    }

    /// Makes a plain server take a multiple of the usual time.
    pub fn slow_down(&mut self, server: &str, multiple: f64) {
        self.work.slow.insert(Bytes::from(server.to_string()), multiple);
    }

    pub(super) fn send_second(
        &mut self,
        instance: usize,
        request: u64,
        dispatch: &fleet::Dispatch,
    ) {
        let second = hedging::second_leg(request);
        let first = self.record(instance, request);
        let first_server = first.last_server.clone();
        let leg = Record { host: first.host, arrived: first.arrived, ..Record::default() };
        self.records.insert((instance, second), leg);
        self.hedges.push(Hedge {
            request: (instance, request),
            first_server,
            server: dispatch.server.clone(),
        });
        self.serve(instance, second, dispatch);
    }

    /// Closes the connection of the other leg of a request if one is answered, as the router does.
    pub(super) fn answer_leg(&mut self, instance: usize, number: u64, is_whole: bool) {
        let now = self.now;
        let request = hedging::first_leg(number);
        for leg in [request, hedging::second_leg(request)] {
            if leg != number && self.records.contains_key(&(instance, leg)) {
                let record = self.record(instance, leg);
                record.sends += 1;
                record.is_in_flight = false;
            }
        }
        if is_whole {
            let record = self.record(instance, request);
            record.finished = true;
            record.answered = Some(now);
            record.ends += 1;
        }
    }
}
