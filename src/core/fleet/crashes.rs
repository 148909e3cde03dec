//! Evidence of what crashes servers: which requests began at each server shortly before it ended, and
//! what servers have survived since.
//!
//! Load pattern: requests with one property end each server that begins to answer them; the servers
//! return after some seconds, and sound requests end with them.

use std::collections::BTreeMap;
use std::time;

use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::recent;
use crate::core::fleet::servers;
use crate::core::ids;

/// The time after the start of an answer in which a server that its request crashes has ended.
pub const CRASH_DELAY: time::Duration = time::Duration::from_secs(1);

/// The number of crashes from which on a feature counts as their cause.
const MIN_CRASHES: usize = 3;

/// Crashes of servers within this time may have a common cause outside of the requests, such as the
/// loss of a machine; they count as one episode.
const EPISODE: time::Duration = time::Duration::from_millis(200);

/// The number of episodes from which on a feature counts as cause.
const MIN_EPISODES: usize = 2;

/// The same for a feature that servers have survived before.
const MIN_EPISODES_OF_SURVIVED: usize = 3;

/// The time after the first survival of any request since a crash in which servers have shown that they
/// survive a feature, if they have survived it before.
const SURVIVAL_DELAY: time::Duration = time::Duration::from_millis(2_000);

/// The time for which it is remembered that servers have survived a feature.
const SURVIVAL_RETENTION: time::Duration = time::Duration::from_secs(300);

/// The maximum number of features that servers have survived; bounds their memory to about 1 MB.
const MAX_SURVIVALS: usize = 8_192;

/// The time for which crashes are remembered.
const CRASH_RETENTION: time::Duration = time::Duration::from_secs(600);

/// The maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;

/// The maximum number of remembered suspects of a crash.
const MAX_SUSPECTS_PER_CRASH: usize = 32;

/// The maximum number of servers that a cause names.
const MAX_NAMED_SERVERS: usize = 8;

/// A digest of a request and its workspace, so that no workspace has requests of another one refused.
pub type RequestKey = u64;

/// Returns the key of a request with this content from a workspace.
pub fn request_key(content: call::ContentDigest, workspace: Option<&str>) -> RequestKey {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    hasher.update(content.to_be_bytes());
    hasher.update(workspace.unwrap_or_default());
    let digest: ids::Digest = hasher.finalize().into();
    ids::first_u64(&digest)
}

/// A property of a request that other requests may share.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Feature {
    /// A part of its prompt.
    Part(call::PartId),
    /// All that its caller sends: equal for requests that are the same.
    Request(RequestKey),
}

impl Feature {
    /// Returns the feature as text for a log line.
    pub fn name(self) -> String {
        match self {
            Self::Part(part) => format!("part {part:x}"),
            Self::Request(request) => format!("request {request:016x}"),
        }
    }
}

/// The features of a request that began at a server shortly before its crash, in their order.
pub type Suspect = Vec<Feature>;

/// The life of a server that has crashed.
pub type ServerLife = (ids::ServerId, u64);

/// A crash with the server that has crashed.
type Observed<'a> = (&'a ServerLife, &'a Crash);

/// The end of one life of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// When it ended.
    pub at: ids::Timestamp,
    /// The service of the server.
    pub service: catalog::ServiceId,
    /// The version of its software, if it is known.
    pub software_version: Option<servers::SoftwareVersion>,
    /// The requests that may have caused it.
    pub suspects: Vec<Suspect>,
    /// When it was first observed that a server of the service has survived a later request.
    pub outlived: Option<ids::Timestamp>,
}

impl Crash {
    fn has(&self, feature: Feature) -> bool {
        self.suspects.iter().any(|suspect| suspect.contains(&feature))
    }

    /// Returns whether one of its suspects has all features of a pattern.
    fn matches(&self, pattern: &[Feature]) -> bool {
        self.suspects.iter().any(|suspect| is_subset(pattern, suspect))
    }
}

/// Returns whether all features of a pattern are among the features of a request.
pub fn is_subset(pattern: &[Feature], features: &[Feature]) -> bool {
    pattern.iter().all(|feature| features.contains(feature))
}

/// What is found to crash servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cause {
    /// The service of the servers.
    pub service: catalog::ServiceId,
    /// The features that all requests that crashed the servers have in common.
    pub pattern: Vec<Feature>,
    /// The software versions of the servers.
    pub software_versions: Vec<Option<servers::SoftwareVersion>>,
    /// The number of crashes.
    pub crashes: usize,
    /// Some of the servers.
    pub servers: Vec<ids::ServerId>,
    /// When the first of them crashed.
    pub first: ids::Timestamp,
}

/// All evidence that this instance has observed or received.
#[derive(Debug)]
pub struct Evidence {
    /// In the order of the lives, so that all instances come to the same conclusion.
    crashes: BTreeMap<ServerLife, Crash>,
    /// The start of the newest request with a feature that its server has survived.
    survivals: recent::RecentMap<Feature, ids::Timestamp>,
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            crashes: BTreeMap::new(),
            survivals: recent::RecentMap::new(SURVIVAL_RETENTION, MAX_SURVIVALS),
        }
    }
}

impl Evidence {
    /// Adds what an instance knows of a crash; returns whether any of it is new.
    pub fn record_crash(&mut self, life: ServerLife, observed: Crash, now: ids::Timestamp) -> bool {
        self.crashes.retain(|_, crash| now.saturating_sub(crash.at) <= CRASH_RETENTION);
        while self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&life) {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let Some(oldest) = oldest.map(|(life, _)| life.clone()) else { break };
            self.crashes.remove(&oldest);
        }
        let suspects = observed.suspects;
        let new = Crash { suspects: Vec::new(), ..observed };
        let crash = self.crashes.entry(life).or_insert_with(|| new.clone());
        crash.at = crash.at.min(new.at);
        let mut is_new = false;
        for suspect in suspects {
            if crash.suspects.len() < MAX_SUSPECTS_PER_CRASH && !crash.suspects.contains(&suspect) {
                crash.suspects.push(suspect);
                is_new = true;
            }
        }
        is_new
    }

    /// Records that a server of a service has survived some request that started at `started`.
    pub fn record_service(
        &mut self,
        service: &catalog::ServiceId,
        started: ids::Timestamp,
        now: ids::Timestamp,
    ) {
        for crash in self.crashes.values_mut() {
            if crash.service == *service && crash.at < started {
                crash.outlived.get_or_insert(now);
            }
        }
    }

    /// Records that a server has survived a request that started at `started`; returns the features
    /// that this clears of crashes.
    pub fn record_survival(
        &mut self,
        features: &[Feature],
        started: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Vec<Feature> {
        let mut cleared = Vec::new();
        for feature in features {
            let known = self.survived_since(*feature, now);
            if known.is_some_and(|known| known >= started) {
                continue;
            }
            let is_cleared = |crash: &Crash| {
                crash.has(*feature)
                    && crash.at < started
                    && known.is_none_or(|known| crash.at >= known)
            };
            if self.crashes.values().any(is_cleared) {
                cleared.push(*feature);
            }
            self.survivals.record(*feature, started, now);
        }
        cleared
    }

    /// Returns whether servers have survived a feature within the retention.
    pub fn has_survived(&self, feature: Feature, now: ids::Timestamp) -> bool {
        self.survived_since(feature, now).is_some()
    }

    fn survived_since(&self, feature: Feature, now: ids::Timestamp) -> Option<ids::Timestamp> {
        self.survivals.get(&feature, now).map(|(started, _)| *started)
    }

    /// Returns whether a request whose server has crashed cannot be told from one that crashes each:
    /// another server has crashed with a feature of it that none has survived.
    pub fn is_suspicious(
        &self,
        features: &[Feature],
        life: &ServerLife,
        now: ids::Timestamp,
    ) -> bool {
        let mut others = self.crashes.iter().filter(|(other, _)| *other != life);
        others.any(|(_, crash)| {
            features.iter().any(|feature| crash.has(*feature) && !self.has_survived(*feature, now))
        })
    }

    /// Forgets the crashes that a pattern explains.
    pub fn forget(&mut self, pattern: &[Feature]) {
        self.crashes.retain(|_, crash| !crash.matches(pattern));
    }

    /// Returns the cause of recent crashes that is not among the known patterns, if one is found:
    /// the features that explain most crashes.
    pub fn find_cause(&self, known: &[&[Feature]], now: ids::Timestamp) -> Option<Cause> {
        let mut by_feature: BTreeMap<(&catalog::ServiceId, Feature), Vec<Observed<'_>>> =
            BTreeMap::new();
        for (life, crash) in &self.crashes {
            let mut features: Vec<_> = crash.suspects.iter().flatten().copied().collect();
            features.sort_unstable();
            features.dedup();
            for feature in features {
                let is_explained = known
                    .iter()
                    .any(|pattern| !pattern.contains(&feature) && crash.matches(pattern));
                let is_cleared =
                    self.survived_since(feature, now).is_some_and(|started| started > crash.at);
                if !is_explained && !is_cleared {
                    by_feature.entry((&crash.service, feature)).or_default().push((life, crash));
                }
            }
        }
        let mut causes: Vec<_> = by_feature
            .into_iter()
            .filter(|((_, feature), crashes)| self.is_cause(*feature, crashes, now))
            .map(|((service, feature), crashes)| self.cause(service, feature, &crashes, now))
            .filter(|cause| !known.iter().any(|pattern| is_subset(pattern, &cause.pattern)))
            .collect();
        causes.sort_by(|one, other| {
            other.crashes.cmp(&one.crashes).then(one.pattern.cmp(&other.pattern))
        });
        causes.dedup_by(|one, other| one.pattern == other.pattern);
        // Two that explain as much are told apart by the next crash.
        let is_tied = causes.len() > 1 && causes[0].crashes == causes[1].crashes;
        if is_tied { None } else { causes.into_iter().next() }
    }

    /// Returns whether a feature is the cause of crashes that no survival clears it of.
    fn is_cause(&self, feature: Feature, crashes: &[Observed<'_>], now: ids::Timestamp) -> bool {
        let has_survived = self.has_survived(feature, now);
        let min_episodes = if has_survived { MIN_EPISODES_OF_SURVIVED } else { MIN_EPISODES };
        // While no server of the service runs, no request can clear a feature.
        let is_decided = |crash: &Crash| {
            let outlived = crash.outlived.map(|at| now.saturating_sub(at));
            !has_survived || outlived.is_some_and(|elapsed| elapsed >= SURVIVAL_DELAY)
        };
        let decided = crashes.iter().filter(|(_, crash)| is_decided(crash));
        let mut times: Vec<_> = decided.map(|(_, crash)| crash.at).collect();
        times.sort_unstable();
        let mut episodes = 0;
        let mut last: Option<ids::Timestamp> = None;
        for at in &times {
            if last.is_none_or(|last| at.saturating_sub(last) > EPISODE) {
                episodes += 1;
                last = Some(*at);
            }
        }
        times.len() >= MIN_CRASHES && episodes >= min_episodes
    }

    /// Returns the cause with all features that accompany one of them in each crash. Features that
    /// servers have survived are no part of it.
    fn cause(
        &self,
        service: &catalog::ServiceId,
        feature: Feature,
        crashes: &[Observed<'_>],
        now: ids::Timestamp,
    ) -> Cause {
        let accompanies = |other: &Feature| {
            let in_crash = |crash: &Crash| {
                let mut with = crash.suspects.iter().filter(|suspect| suspect.contains(&feature));
                with.any(|suspect| suspect.contains(other))
            };
            crashes.iter().all(|(_, crash)| in_crash(crash))
        };
        let first = crashes.iter().min_by_key(|(_, crash)| crash.at);
        let candidates = first.map(|(_, crash)| crash.suspects.concat()).unwrap_or_default();
        let mut pattern: Vec<_> = candidates
            .into_iter()
            .filter(|other| *other == feature || !self.has_survived(*other, now))
            .filter(accompanies)
            .collect();
        pattern.sort_unstable();
        pattern.dedup();
        let mut servers: Vec<_> = crashes.iter().map(|((server, _), _)| server.clone()).collect();
        servers.truncate(MAX_NAMED_SERVERS);
        let mut software_versions: Vec<_> =
            crashes.iter().map(|(_, crash)| crash.software_version.clone()).collect();
        software_versions.sort();
        software_versions.dedup();
        Cause {
            service: service.clone(),
            pattern,
            software_versions,
            crashes: crashes.len(),
            servers,
            first: first.map(|(_, crash)| crash.at).unwrap_or_default(),
        }
    }
}

#[cfg(test)]
mod tests;
