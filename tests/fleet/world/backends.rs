//! The behaviour of simulated servers.

use galenayard::core::fleet::crashes;
use rand::RngExt as _;
use rand::SeedableRng as _;

use super::*;

/// The time from the start of an answer that crashes its server until the server ends.
const CRASH_AFTER: Duration = Duration::from_millis(50);

/// Draws the work of a plain request: a standard deviation of half the mean, and a tail of one in a
/// hundred that takes five times the mean.
fn draw_work(rng: &mut rand_chacha::ChaCha8Rng) -> Duration {
    if rng.random::<f64>() < 0.01 {
        return WORK * 5;
    }
    // The sum of four exponential times.
    let sum: f64 = (0..4).map(|_| -(1.0 - rng.random::<f64>()).ln()).sum();
    WORK.mul_f64(sum / 4.0)
}

impl World {
    /// Gives the work of plain requests a spread.
    pub fn spread_plain_work(&mut self, seed: u64) {
        self.plain_work = Some(rand_chacha::ChaCha8Rng::seed_from_u64(seed));
    }

    pub(super) fn serve(&mut self, instance: usize, request: u64, dispatch: &fleet::Dispatch) {
        let now = self.now;
        let sends = {
            let record = self.record(instance, request);
            record.sends += 1;
            record.last_send = now;
            record.last_server = dispatch.server.clone();
            record.is_in_flight = true;
            record.sends
        };
        let backend = self.backends.get_mut(&dispatch.server).expect("the server exists");
        backend.arrivals.push((now, instance));
        let is_cut_off = |(from, server): &(usize, &str)| {
            *from == instance && server.as_bytes() == &*dispatch.server
        };
        let is_cut_off = self.cut_off.iter().any(is_cut_off);
        let health = if is_cut_off { Health::Unreachable } else { backend.health };
        if health != Health::Unreachable {
            self.calls.push(ServerCall {
                at: now,
                request: (instance, request),
                server: dispatch.server.clone(),
                is_accepted_prefill: health == Health::Healthy
                    && dispatch.step == fleet::Step::Prefill,
            });
        }
        if let Some(after) = dispatch.hedge_after {
            self.schedule(after, Action::HedgeDue { instance, request, sends });
        }
        let unhealthy = match health {
            Health::Healthy => None,
            Health::AnswersErrors if request.is_multiple_of(2) => None,
            // Neighbouring numbers are spread over the rest of the division.
            Health::LosesAnswers if request.wrapping_mul(7_919) % 1_000 >= 400 => None,
            Health::LosesAnswers => {
                let is_run = dispatch.step != fleet::Step::Prefill;
                self.record(instance, request).runs += u32::from(is_run);
                Some((LATENCY, fleet::Outcome::ConnectionLost))
            }
            Health::AnswersErrors => {
                let is_run = dispatch.step != fleet::Step::Prefill;
                self.record(instance, request).runs += u32::from(is_run);
                Some((WORK, fleet::Outcome::Failed { status: 500 }))
            }
            Health::NeverAnswers => {
                self.record(instance, request).runs += 1;
                let timeout = dispatch.response_timeout.unwrap_or(dispatch.remaining);
                Some((timeout, fleet::Outcome::Unresponsive))
            }
            Health::Unreachable => Some((Duration::from_millis(2), fleet::Outcome::Unsent)),
            Health::RejectsRequests => Some((Duration::from_millis(2), fleet::Outcome::Rejected)),
            Health::Replaced => Some((Duration::from_millis(2), fleet::Outcome::Misdirected)),
            Health::DropsConnections => {
                let is_run = dispatch.step != fleet::Step::Prefill;
                self.record(instance, request).runs += u32::from(is_run);
                Some((Duration::from_millis(20), fleet::Outcome::ConnectionLost))
            }
        };
        if let Some((after, outcome)) = unhealthy {
            self.schedule(after, Action::Progress { instance, request, sends, outcome });
            return;
        }
        if dispatch.server.starts_with(b"desk") {
            return self.serve_plain(instance, request, sends, dispatch);
        }
        self.serve_engine(instance, request, sends, dispatch);
    }

    fn serve_plain(
        &mut self,
        instance: usize,
        request: u64,
        sends: u32,
        dispatch: &fleet::Dispatch,
    ) {
        let now = self.now;
        let Some(backend) = self.backends.get_mut(&dispatch.server) else { return };
        backend.free_at.sort_unstable();
        let begins = backend.free_at[0].max(now);
        if begins > now + WORK * (PLAIN_QUEUE as u32 / 6) {
            let outcome = fleet::Outcome::Rejected;
            self.schedule(LATENCY, Action::Progress { instance, request, sends, outcome });
            return;
        }
        let work = match (&mut backend.machine, self.plain_work.as_mut()) {
            (Some(machine), _) => machine.run(begins),
            (None, Some(rng)) => draw_work(rng),
            (None, None) => self.work.next(&dispatch.server),
        };
        backend.free_at[0] = begins + work;
        let after = begins + work - now;
        if self.crashes_servers(instance, request) {
            let server = dispatch.server.clone();
            self.record(instance, request).runs += 1;
            self.schedule(begins + CRASH_AFTER - now, Action::Crash { server });
            return;
        }
        let record = self.record(instance, request);
        record.runs += 1;
        record.begun = Some(now + after);
        let outcome = fleet::Outcome::Finished { status: 200, is_end_marked: true };
        self.schedule(after, Action::Progress { instance, request, sends, outcome });
    }

    fn serve_engine(
        &mut self,
        instance: usize,
        request: u64,
        sends: u32,
        dispatch: &fleet::Dispatch,
    ) {
        let now = self.now;
        let prompt = self.record(instance, request).prompt;
        let Some(backend) = self.backends.get_mut(&dispatch.server) else { return };
        let is_kept = prompt.is_some_and(|prompt| backend.prompts.contains(&prompt));
        if dispatch.step != fleet::Step::Prefill {
            backend.prompts.extend(prompt);
        }
        let is_decode = is_kept || matches!(dispatch.step, fleet::Step::Decode { .. });
        let Some(backend) = self.backends.get_mut(&dispatch.server) else { return };
        let rate = match dispatch.step {
            fleet::Step::Prefill => backend.prefill_tokens_per_ms,
            _ => backend.prefill_tokens_per_ms / 2.0,
        };
        let prefill_time = if is_decode {
            Duration::from_millis(5)
        } else {
            Duration::from_secs_f64(f64::from(PROMPT.prompt_tokens) / rate / 1_000.0)
        };
        let begins = if is_decode { now } else { backend.free_at[0].max(now) };
        if !is_decode {
            backend.free_at[0] = begins + prefill_time;
        }
        let after = begins + prefill_time - now;
        if !is_decode {
            self.record(instance, request).prefills += 1;
        }
        if dispatch.step == fleet::Step::Prefill {
            let Some(backend) = self.backends.get_mut(&dispatch.server) else { return };
            backend.prefilling += 1;
            backend.most_prefilling = backend.most_prefilling.max(backend.prefilling);
            let outcome = fleet::Outcome::Prefilled { handle: "h".to_string() };
            self.schedule(after, Action::Progress { instance, request, sends, outcome });
            return;
        }
        let Some(backend) = self.backends.get_mut(&dispatch.server) else { return };
        let kv_tokens = PROMPT.prompt_tokens + PROMPT.expected_tokens / 2;
        backend.memory_tokens += kv_tokens;
        backend.most_memory_tokens = backend.most_memory_tokens.max(backend.memory_tokens);
        let record = self.record(instance, request);
        record.runs += 1;
        record.memory = Some((dispatch.server.clone(), kv_tokens));
        let crashes = self.crashes_servers(instance, request);
        if crashes {
            let server = dispatch.server.clone();
            self.schedule(after + CRASH_AFTER, Action::Crash { server });
        }
        // Some servers end before the first event has left them.
        if !crashes || request.is_multiple_of(2) {
            let started = fleet::Outcome::Started;
            self.schedule(after, Action::Progress { instance, request, sends, outcome: started });
        }
        let continued = fleet::Outcome::Continued;
        let survived = after + crashes::CRASH_DELAY;
        self.schedule(survived, Action::Progress { instance, request, sends, outcome: continued });
        let outcome = fleet::Outcome::Finished { status: 200, is_end_marked: true };
        let duration = STREAM.mul_f64(self.backends[&dispatch.server].stream_share);
        self.schedule(after + duration, Action::Progress { instance, request, sends, outcome });
    }

    pub(super) fn free_memory(&mut self, instance: usize, request: u64) {
        if let Some((server, kv_tokens)) = self.record(instance, request).memory.take()
            && let Some(backend) = self.backends.get_mut(&server)
        {
            backend.memory_tokens -= kv_tokens;
        }
    }

    /// Delivers what the head of an answer states about the limit of its server.
    fn state_limit(
        &mut self,
        instance: usize,
        request: u64,
        server: &Bytes,
        outcome: &fleet::Outcome,
    ) {
        let is_authentic = match outcome {
            fleet::Outcome::Started
            | fleet::Outcome::Prefilled { .. }
            | fleet::Outcome::Failed { .. } => true,
            // The head of a stream was received before its end.
            fleet::Outcome::Finished { .. } => server.starts_with(b"desk"),
            fleet::Outcome::Rejected => false,
            _ => return,
        };
        let limit = match self.backends[server].limit_per_s {
            Some(rate_per_s) => {
                self.notified.entry((server.clone(), instance)).or_insert(self.now);
                server_limits::Statement::PerSecond(rate_per_s)
            }
            None => server_limits::Statement::Unlimited,
        };
        let notice = self.backends[server].notice;
        if notice != notices::Notice::default() {
            self.notices.push((self.now, server.clone(), instance));
        }
        if self.older.contains(&instance) {
            return;
        }
        let now = self.now;
        let machine = self.backends.get_mut(server).and_then(|backend| backend.machine.as_mut());
        let load = machine.map(|machine| machine.state(now)).unwrap_or_default();
        let event = fleet::Event::AnswerReceived { request, limit, notice, load, is_authentic };
        self.apply(instance, event);
    }

    pub(super) fn progressed(
        &mut self,
        instance: usize,
        request: u64,
        sends: u32,
        outcome: fleet::Outcome,
    ) {
        let now = self.now;
        let is_prefilled = matches!(outcome, fleet::Outcome::Prefilled { .. });
        let record = self.record(instance, request);
        let server = record.last_server.clone();
        let is_current = record.sends == sends;
        if is_prefilled && let Some(backend) = self.backends.get_mut(&server) {
            backend.prefilling = backend.prefilling.saturating_sub(1);
        }
        if !is_current {
            return;
        }
        self.state_limit(instance, request, &server, &outcome);
        if !matches!(outcome, fleet::Outcome::Started | fleet::Outcome::Continued) {
            self.record(instance, request).is_in_flight = false;
        }
        let record = self.record(instance, request);
        match &outcome {
            fleet::Outcome::Started => {
                record.begun = Some(now);
                record.begun_at.push(server);
            }
            fleet::Outcome::Finished { .. } => {
                let is_whole = true;
                self.answer_leg(instance, request, is_whole);
                self.free_memory(instance, request);
            }
            _ => {}
        }
        self.apply(instance, fleet::Event::RequestProgressed { request, outcome });
    }
}
