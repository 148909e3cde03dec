//! The share of new requests that the servers of each domain get, which shows when a domain is in
//! use again after its evacuation.

use std::time;

use crate::core::collections;
use crate::core::fleet::estimate;
use crate::core::ids;

/// The time after which a request counts half in the usual share of its domain.
const USUAL_HALF_LIFE: time::Duration = time::Duration::from_secs(10);

/// The time after which a request counts half in the recent share of its domain.
const RECENT_HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// The number of recent requests without which a share is not known.
const MIN_REQUESTS: f64 = 8.0;

/// The part of the usual share from which on a domain counts as returned: shares vary by chance.
const RETURNED_PART: f64 = 0.9;

/// The time after which it is no longer awaited that a domain gets its usual share.
const MAX_RETURN: time::Duration = time::Duration::from_secs(120);

/// A number of requests that is halved in each half-life.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    requests: f64,
    at: ids::Timestamp,
}

impl Count {
    fn get(self, half_life: time::Duration, now: ids::Timestamp) -> f64 {
        self.requests * estimate::decayed_weight(now.saturating_sub(self.at), half_life)
    }

    fn add(&mut self, half_life: time::Duration, now: ids::Timestamp) {
        *self = Self { requests: self.get(half_life, now) + 1.0, at: now };
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    usual: Count,
    recent: Count,
}

impl Counts {
    fn add(&mut self, now: ids::Timestamp) {
        self.usual.add(USUAL_HALF_LIFE, now);
        self.recent.add(RECENT_HALF_LIFE, now);
    }
}

/// A domain that has its usual share of new requests again.
#[derive(Debug, Clone, PartialEq)]
pub struct Returned {
    /// The domain.
    pub domain: String,
    /// The time since the lifting of its evacuation.
    pub elapsed: time::Duration,
    /// Its share of requests before the evacuation.
    pub usual_share: f64,
    /// Its share now.
    pub share: f64,
}

/// The requests that this instance has sent, by domain.
#[derive(Debug, Default)]
pub struct Shares {
    total: Counts,
    domains: collections::Map<String, Counts>,
    /// The shares of evacuated and returning domains before their evacuation.
    before: collections::Map<String, f64>,
    /// When the evacuation of returning domains was lifted.
    returning: collections::Map<String, ids::Timestamp>,
}

impl Shares {
    /// Counts a request that is sent to a server of a domain.
    pub fn record(&mut self, domain: &str, now: ids::Timestamp) {
        self.total.add(now);
        match self.domains.get_mut(domain) {
            Some(counts) => counts.add(now),
            None => self.domains.entry(domain.to_string()).or_default().add(now),
        }
    }

    /// Notes that a domain is evacuated.
    pub fn begin(&mut self, domain: &str, now: ids::Timestamp) {
        let is_returning = self.returning.remove(domain).is_some();
        let total = self.total.usual.get(USUAL_HALF_LIFE, now);
        if !is_returning && total >= MIN_REQUESTS {
            let counts = self.domains.get(domain).copied().unwrap_or_default();
            let share = counts.usual.get(USUAL_HALF_LIFE, now) / total;
            self.before.insert(domain.to_string(), share);
        }
    }

    /// Notes that the evacuation of a domain is lifted.
    pub fn lift(&mut self, domain: &str, now: ids::Timestamp) {
        if self.before.get(domain).is_some_and(|share| *share > 0.0) {
            self.returning.insert(domain.to_string(), now);
        } else {
            self.before.remove(domain);
        }
    }

    /// Removes and returns the domains that have their usual share again.
    pub fn take_returned(&mut self, now: ids::Timestamp) -> Vec<Returned> {
        if self.returning.is_empty() {
            return Vec::new();
        }
        let total = self.total.recent.get(RECENT_HALF_LIFE, now);
        let mut returned = Vec::new();
        for (domain, lifted) in &self.returning {
            let counts = self.domains.get(domain).copied().unwrap_or_default();
            let share = counts.recent.get(RECENT_HALF_LIFE, now) / total;
            let usual_share = self.before.get(domain).copied().unwrap_or_default();
            if total >= MIN_REQUESTS && share >= usual_share * RETURNED_PART {
                let (domain, elapsed) = (domain.clone(), now.saturating_sub(*lifted));
                returned.push(Returned { domain, elapsed, usual_share, share });
            }
        }
        let is_over = |domain: &String, lifted: ids::Timestamp| {
            let is_returned = returned.iter().any(|returned| returned.domain == *domain);
            is_returned || now.saturating_sub(lifted) > MAX_RETURN
        };
        self.returning.retain(|domain, lifted| !is_over(domain, *lifted));
        let returning = &self.returning;
        let returns = |domain: &String| returning.contains_key(domain);
        // The shares of domains that are still evacuated are needed after their return.
        self.before.retain(|domain, _| {
            returns(domain) || !returned.iter().any(|returned| returned.domain == *domain)
        });
        returned
    }
}
