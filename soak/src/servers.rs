//! What servers have seen and asked for, and the promises on that.

use std::collections::BTreeMap;
use std::net;
use std::time;

/// The time in which instances have learned what crashes servers.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// The requests that crash servers that may reach them after that.
const CRASHING_ALLOWED: usize = 3;

/// The time after which an instance that has passed on the answer of a leaving server sends it nothing.
const DRAIN: time::Duration = time::Duration::from_secs(2);

/// The time after a server has asked for a pause from which requests count.
const PAUSE_NOTICE: time::Duration = time::Duration::from_millis(500);

/// The time after which no request must reach the servers of an evacuated zone.
const EVACUATED_WITHIN: time::Duration = time::Duration::from_millis(5_000);

/// The requests that may reach a server in a pause.
const PAUSE_ALLOWED: usize = 2;

/// The requests a second that a cold server takes, as the configuration states them.
pub const COLD_PER_S: f64 = 2.0;

/// The requests that may reach a cold server within a second.
const COLD_ALLOWED: usize = (1.5 * COLD_PER_S + 5.0) as usize;

/// The window in which requests to a cold server are counted.
const COLD_WINDOW: time::Duration = time::Duration::from_secs(1);

/// What makes a request crash servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// A part of its prompt.
    Part(String),
    /// The whole request, by its path.
    Request(String),
}

impl Cause {
    /// Returns the number of crashes after which instances must have learned it.
    fn crashes_to_learn(&self) -> usize {
        match self {
            Self::Part(_) => 5,
            Self::Request(_) => 3,
        }
    }
}

/// A request that has reached a server.
#[derive(Debug, Clone)]
struct Arrival {
    at: time::Duration,
    server: String,
    attempt: String,
    cause: Option<Cause>,
}

/// A pause that a server has asked for.
#[derive(Debug, Clone)]
struct Pause {
    server: String,
    attempt: String,
    at: time::Duration,
    span: time::Duration,
}

/// A time in which a zone is evacuated.
#[derive(Debug, Clone)]
struct Evacuation {
    zone: String,
    since: time::Duration,
    until: Option<time::Duration>,
}

/// What servers have seen and asked for.
#[derive(Debug, Default)]
pub struct Servers {
    arrivals: Vec<Arrival>,
    crashes: BTreeMap<Cause, Vec<time::Duration>>,
    pauses: Vec<Pause>,
    /// The zones of servers.
    zones: BTreeMap<String, String>,
    evacuations: Vec<Evacuation>,
    /// The servers that were cold, with the first and the last moment.
    cold: Vec<(String, time::Duration, time::Duration)>,
    /// The answers of leaving servers, by attempt.
    leaving: BTreeMap<String, String>,
    /// The instance that each attempt was sent to, when, and when its answer was received.
    attempts: BTreeMap<String, (net::SocketAddr, time::Duration, Option<time::Duration>)>,
    /// When instances were not in touch, or nothing was.
    disturbances: Vec<(Option<net::SocketAddr>, time::Duration, time::Duration)>,
}

impl Servers {
    /// Notes what a caller sends.
    pub fn note_sent(&mut self, attempt: &str, to: net::SocketAddr, at: time::Duration) {
        self.attempts.insert(attempt.to_string(), (to, at, None));
    }

    /// Notes that a caller has its answer.
    pub fn note_got(&mut self, attempt: &str, at: time::Duration) {
        if let Some((_, _, got)) = self.attempts.get_mut(attempt) {
            *got = Some(at);
        }
    }

    /// Notes that a request has reached a server.
    pub fn note_arrival(
        &mut self,
        server: &str,
        attempt: &str,
        cause: Option<Cause>,
        at: time::Duration,
    ) {
        let (server, attempt) = (server.to_string(), attempt.to_string());
        self.arrivals.push(Arrival { at, server, attempt, cause });
    }

    /// Notes that a request has crashed a server.
    pub fn note_crash(&mut self, cause: Cause, at: time::Duration) {
        self.crashes.entry(cause).or_default().push(at);
    }

    /// Notes that a leaving server has answered.
    pub fn note_leaving(&mut self, server: &str, attempt: &str) {
        self.leaving.insert(attempt.to_string(), server.to_string());
    }

    /// Notes that a server has asked for a pause.
    pub fn note_pause(
        &mut self,
        server: &str,
        attempt: &str,
        span: time::Duration,
        at: time::Duration,
    ) {
        let (server, attempt) = (server.to_string(), attempt.to_string());
        self.pauses.push(Pause { server, attempt, at, span });
    }

    /// Notes the zone of a server.
    pub fn note_zone(&mut self, server: &str, zone: &str) {
        self.zones.insert(server.to_string(), zone.to_string());
    }

    /// Notes that a zone is evacuated, or that this is lifted.
    pub fn note_evacuation(&mut self, zone: &str, is_in_force: bool, at: time::Duration) {
        if is_in_force {
            let zone = zone.to_string();
            self.evacuations.push(Evacuation { zone, since: at, until: None });
        } else if let Some(last) = self.evacuations.iter_mut().rfind(|it| it.zone == zone) {
            last.until.get_or_insert(at);
        }
    }

    /// Notes that a server is cold for a while.
    pub fn note_cold(&mut self, server: &str, at: time::Duration, span: time::Duration) {
        self.cold.push((server.to_string(), at, at + span));
    }

    /// Returns the most requests that reached a cold server within a second.
    pub fn most_at_a_cold_server(&self) -> usize {
        self.cold.iter().map(|cold| self.most_while_cold(cold)).max().unwrap_or(0)
    }

    fn most_while_cold(
        &self,
        (server, since, until): &(String, time::Duration, time::Duration),
    ) -> usize {
        let arrivals = self.arrivals.iter().filter(|arrival| arrival.server == *server);
        let arrivals = arrivals.map(|arrival| arrival.at).filter(|at| at >= since && at <= until);
        let arrivals: Vec<_> = arrivals.collect();
        let within = |start: &time::Duration| {
            arrivals.iter().filter(|at| *at >= start && **at < *start + COLD_WINDOW).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    /// Notes that an instance, or with `None` all of them, is not in touch for a while.
    pub fn note_disturbance(
        &mut self,
        instance: Option<net::SocketAddr>,
        at: time::Duration,
        span: time::Duration,
    ) {
        self.disturbances.push((instance, at, at + span));
    }

    fn is_disturbed(
        &self,
        instance: net::SocketAddr,
        since: time::Duration,
        until: time::Duration,
    ) -> bool {
        self.disturbances.iter().any(|(disturbed, start, end)| {
            disturbed.is_none_or(|it| it == instance) && *start <= until && *end >= since
        })
    }

    fn instance_of(&self, attempt: &str) -> Option<net::SocketAddr> {
        self.attempts.get(attempt).map(|(instance, _, _)| *instance)
    }

    /// Returns the most crashes by one cause.
    pub fn most_crashes(&self) -> usize {
        self.crashes.values().map(Vec::len).max().unwrap_or(0)
    }

    /// Returns the promises that were broken.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (cause, crashes) in &self.crashes {
            let Some(learned) = crashes.get(cause.crashes_to_learn() - 1) else { continue };
            let is_late = |arrival: &&Arrival| {
                let since = arrival.at.saturating_sub(CONTACT);
                arrival.cause.as_ref() == Some(cause)
                    && arrival.at > *learned + CONTACT
                    && self
                        .instance_of(&arrival.attempt)
                        .is_some_and(|instance| !self.is_disturbed(instance, since, arrival.at))
            };
            let late = self.arrivals.iter().filter(is_late).count();
            if late > CRASHING_ALLOWED {
                let crashes = crashes.len();
                violations.push(format!("{late} requests with {cause:?} after {crashes} crashes"));
            }
        }
        for pause in &self.pauses {
            let Some(instance) = self.instance_of(&pause.attempt) else { continue };
            let end = pause.at + pause.span;
            let is_within = |arrival: &&Arrival| {
                arrival.server == pause.server
                    && arrival.at > pause.at + PAUSE_NOTICE
                    && arrival.at < end
                    && self.instance_of(&arrival.attempt) == Some(instance)
            };
            let count = self.arrivals.iter().filter(is_within).count();
            if count > PAUSE_ALLOWED && !self.is_disturbed(instance, pause.at, end) {
                violations.push(format!("{count} requests of {instance} in {pause:?}"));
            }
        }
        for cold in &self.cold {
            let most = self.most_while_cold(cold);
            if most > COLD_ALLOWED {
                violations.push(format!("{most} requests in 1 s at the cold server {cold:?}"));
            }
        }
        violations.extend(self.arrivals.iter().filter_map(|arrival| self.check_leaving(arrival)));
        for evacuation in &self.evacuations {
            let from = self.in_force_at(evacuation.since);
            let is_late = |arrival: &&Arrival| {
                self.zones.get(&arrival.server) == Some(&evacuation.zone)
                    && arrival.at > from
                    && evacuation.until.is_none_or(|until| arrival.at < until)
            };
            let count = self.arrivals.iter().filter(is_late).count();
            if count > 0 {
                violations.push(format!("{count} requests after {from:?} in {evacuation:?}"));
            }
        }
        violations
    }

    /// Returns when an evacuation must be in force at all instances. What keeps them from the store
    /// until then postpones it; an instance that ends and starts again does not.
    fn in_force_at(&self, since: time::Duration) -> time::Duration {
        let mut from = since + EVACUATED_WITHIN;
        for (_, start, end) in self.disturbances.iter().filter(|(_, start, end)| start < end) {
            if *start <= from && *end >= since {
                from = from.max(*end + EVACUATED_WITHIN);
            }
        }
        from
    }

    fn check_leaving(&self, arrival: &Arrival) -> Option<String> {
        let (instance, sent, _) = self.attempts.get(&arrival.attempt)?;
        let told = self.leaving.iter().filter(|(_, server)| **server == arrival.server);
        let told = told.filter_map(|(attempt, _)| {
            let (told, _, got) = self.attempts.get(attempt)?;
            (told == instance).then_some((*got)?)
        });
        let told = told.min()?;
        let is_late = *sent > told + DRAIN && !self.is_disturbed(*instance, told, arrival.at);
        is_late.then(|| format!("{arrival:?} of {instance}, told at {told:?}"))
    }
}
