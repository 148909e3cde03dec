//! A fake language engine that speaks the engine protocol of `docs/PROTOCOLS.md`.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::{http, network};

mod api;
pub mod cache;
pub mod config;
pub mod faults;
pub mod ledger;
pub mod output;
pub mod state;

/// Tokens in one piece of engine memory.
pub const PIECE_TOKENS: u64 = 2_000;

/// Prompt tokens computed in one step.
const PREFILL_STEP_TOKENS: u64 = 512;

/// Requests that double the time between tokens.
const BATCH_SLOWDOWN_REQUESTS: f64 = 40.0;

/// A KV cache held by another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Export {
    /// Address of the other engine.
    pub address: SocketAddr,
    /// Execution that holds the KV cache there.
    pub number: ledger::ExecutionNumber,
}

/// A request as the engine runs it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Value of `x-request-id`.
    pub id: String,
    /// The whole prompt.
    pub prompt: String,
    /// Most answer tokens.
    pub max_tokens: usize,
    /// Lower runs first.
    pub priority: i64,
    /// What is to be done.
    pub work: Work,
}

/// What is to be done with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Work {
    /// Compute the prompt and export its KV cache.
    Prefill,
    /// Import a KV cache and decode.
    Decode(Export),
    /// Compute the prompt and decode.
    Whole,
}

impl Work {
    fn kind(&self) -> ledger::Kind {
        match self {
            Self::Prefill => ledger::Kind::Prefill,
            Self::Decode(_) => ledger::Kind::Decode,
            Self::Whole => ledger::Kind::Whole,
        }
    }
}

/// Why a request was not taken on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// Neither slot nor memory is free.
    #[error("neither slot nor memory is free; try another engine")]
    Full,
    /// The request needs more memory than the engine has.
    #[error("the request needs more memory than the engine has; shorten it")]
    TooLarge,
    /// The request was cancelled before it came.
    #[error("the request was cancelled before it came; do not send it again")]
    Cancelled,
    /// The engine loads a model.
    #[error("the engine loads a model; try again later")]
    Loading,
    /// The engine does not take on this kind of request.
    #[error("the engine's role excludes this request; send it to another pool")]
    WrongRole,
}

/// A running fake engine.
#[derive(Debug)]
pub struct Engine {
    config: config::Config,
    address: SocketAddr,
    network: Arc<network::Network>,
    state: Mutex<state::State>,
    compute: tokio::sync::Mutex<()>,
    link: tokio::sync::Mutex<()>,
    client: http::Client,
}

/// A fake engine that runs until the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Its server.
    pub server: http::Server,
    /// The engine itself.
    pub engine: Arc<Engine>,
}

/// Starts an engine.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn spawn(config: config::Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.listen).await?;
    let address = listener.local_addr()?;
    let network = Arc::new(network::Network::default());
    let latency = config.latency;
    let engine = Arc::new(Engine::new(config, address, Arc::clone(&network)));
    tokio::spawn(measure_load(Arc::downgrade(&engine), engine.config.load_lag));
    let server = http::serve(listener, network, latency, Arc::clone(&engine))?;
    Ok(Handle { server, engine })
}

async fn measure_load(engine: std::sync::Weak<Engine>, interval: Duration) {
    loop {
        time::sleep(interval).await;
        let Some(engine) = engine.upgrade() else { return };
        let mut state = engine.state();
        state.measured = (state.load(), Instant::now());
    }
}

impl Engine {
    /// Makes an engine that is reached at `address`.
    pub fn new(
        config: config::Config,
        address: SocketAddr,
        network: Arc<network::Network>,
    ) -> Self {
        let engine_id = format!("engine-{}", address.port());
        let state = Mutex::new(state::State::new(&config, &engine_id, Instant::now()));
        Self {
            config,
            address,
            network,
            state,
            compute: tokio::sync::Mutex::new(()),
            link: tokio::sync::Mutex::new(()),
            client: http::client(Duration::from_secs(1)),
        }
    }

    /// Takes a request on, or refuses it; the receiver follows its progress.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the request is refused; it has not run then.
    pub fn submit(
        self: &Arc<Self>,
        submission: Submission,
    ) -> Result<(ledger::ExecutionNumber, watch::Receiver<state::Progress>), Refusal> {
        let prompt_tokens = self.prompt_tokens(&submission.prompt);
        let answer_tokens = match submission.work {
            Work::Prefill => 0,
            Work::Decode(_) | Work::Whole => submission.max_tokens,
        };
        let all_tokens = prompt_tokens + u64::try_from(answer_tokens).unwrap_or(u64::MAX / 2);
        let needs_pieces = state::pieces_for(all_tokens);
        let mut state = self.state();
        self.check(&mut state, &submission, needs_pieces)?;
        let digest = output::digest(&submission.prompt);
        let number = state.records.open(ledger::Execution {
            id: submission.id.clone(),
            digest: digest.to_string(),
            kind: submission.work.kind(),
            outcome: ledger::Outcome::Open,
            ran: false,
            prompt_tokens,
            cached_tokens: 0,
            prefill_tokens: 0,
            decoded_tokens: 0,
            delivered: false,
            held_pieces: 0,
            arrived_ms: http::unix_ms(),
        });
        let (progress, receiver) = watch::channel(state::Progress::default());
        let held = state::Held {
            id: submission.id.clone(),
            phase: state::Phase::Queued,
            in_slot: false,
            needs_pieces,
            pieces: 0,
            since: Instant::now(),
            import_begun: false,
            length: output::length(digest, answer_tokens, self.config.early_stop),
            progress,
        };
        state.held.insert(number, held);
        let admitted = state.enqueue(number, submission.priority);
        drop(state);
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            if admitted.await.is_ok() {
                let _stopped = engine.execute(number, submission).await;
            }
        });
        Ok((number, receiver))
    }

    /// The settings of the engine.
    pub fn config(&self) -> &config::Config {
        &self.config
    }

    /// A copy of the ledger.
    pub fn records(&self) -> ledger::Records {
        let mut records = self.state().records.clone();
        records.authorization_seen = self.network.authorization_seen();
        records
    }

    /// Carries out a fault command.
    pub fn command(&self, command: &faults::Command) {
        self.state().faults.apply(command);
        if command.silence {
            self.network.silence();
        }
        if let Some(down_ms) = command.crash_ms {
            self.state().crash();
            self.network.crash(Duration::from_millis(down_ms));
        }
    }

    /// Cancels a request and returns the pieces released.
    pub fn cancel(&self, id: &str) -> u64 {
        self.state().cancel(id, Instant::now())
    }

    /// Marks an answer as read to its end, which releases its memory.
    pub fn read_out(&self, number: ledger::ExecutionNumber) {
        self.state().release(number, ledger::Outcome::Delivered);
    }

    fn state(&self) -> MutexGuard<'_, state::State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn prompt_tokens(&self, prompt: &str) -> u64 {
        (prompt.len() as f64 / self.config.bytes_per_token).ceil() as u64
    }

    fn check(
        &self,
        state: &mut state::State,
        submission: &Submission,
        needs_pieces: u64,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        let role_fits = match submission.work {
            Work::Prefill => state.role != config::Role::Decode,
            Work::Decode(_) | Work::Whole => state.role != config::Role::Prefill,
        };
        if !role_fits {
            return Err(Refusal::WrongRole);
        }
        if now < state.loading_until {
            return Err(Refusal::Loading);
        }
        if state.is_cancelled(&submission.id, now) {
            return Err(Refusal::Cancelled);
        }
        if needs_pieces > self.config.pieces_total {
            return Err(Refusal::TooLarge);
        }
        if state.is_full(needs_pieces, self.config.queue_limit) {
            state.records.refused += 1;
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Runs a request that has a slot; ends early with `None` once it is no longer held.
    async fn execute(&self, number: ledger::ExecutionNumber, submission: Submission) -> Option<()> {
        match &submission.work {
            Work::Prefill => {
                self.prefill(number, &submission.prompt).await?;
                self.export(number).await
            }
            Work::Whole => {
                self.prefill(number, &submission.prompt).await?;
                self.decode(number).await
            }
            Work::Decode(export) => {
                self.set_phase(number, state::Phase::Decode)?;
                if !self.import(number, export, &submission.prompt).await? {
                    return self.kv_gone(number);
                }
                self.decode(number).await
            }
        }
    }

    async fn prefill(&self, number: ledger::ExecutionNumber, prompt: &str) -> Option<()> {
        let _computing = self.compute.lock().await;
        let blocks = output::block_hashes(prompt);
        let prompt_tokens = self.prompt_tokens(prompt);
        let mut left = self.start_prefill(number, &blocks, prompt_tokens)?;
        while left > 0 {
            let step = left.min(PREFILL_STEP_TOKENS);
            time::sleep(self.prefill_time(step)).await;
            left -= step;
            let mut state = self.state();
            state.held.get(&number)?;
            state.records.update(number, |execution| execution.prefill_tokens += step);
        }
        let mut state = self.state();
        state.cache.store(&blocks, Instant::now());
        Some(())
    }

    fn start_prefill(
        &self,
        number: ledger::ExecutionNumber,
        blocks: &[u64],
        prompt_tokens: u64,
    ) -> Option<u64> {
        let mut state = self.state();
        state.held.get(&number)?;
        let cached_bytes = state.cache.hit(blocks) * output::BLOCK_BYTES;
        let cached_tokens = (cached_bytes as f64 / self.config.bytes_per_token) as u64;
        let cached_tokens = cached_tokens.min(prompt_tokens.saturating_sub(1));
        state.records.update(number, |execution| execution.cached_tokens = cached_tokens);
        Some(prompt_tokens - cached_tokens)
    }

    async fn export(&self, number: ledger::ExecutionNumber) -> Option<()> {
        self.set_phase(number, state::Phase::Exported)?;
        self.state().leave_slot(number);
        self.advance(number, |progress| {
            progress.started = true;
            progress.finished = true;
        })?;
        time::sleep(self.config.export_lifetime).await;
        let mut state = self.state();
        if !state.held.get(&number)?.import_begun {
            state.release(number, ledger::Outcome::Evicted);
        }
        Some(())
    }

    async fn decode(&self, number: ledger::ExecutionNumber) -> Option<()> {
        self.set_phase(number, state::Phase::Decode)?;
        let length = self.advance(number, |progress| progress.started = true)?;
        for _ in 0..length {
            time::sleep(self.token_time()).await;
            self.advance(number, |progress| progress.generated += 1)?;
            self.state().records.update(number, |execution| execution.decoded_tokens += 1);
        }
        self.state().leave_slot(number);
        self.advance(number, |progress| progress.finished = true)?;
        Some(())
    }

    async fn import(
        &self,
        number: ledger::ExecutionNumber,
        export: &Export,
        prompt: &str,
    ) -> Option<bool> {
        if !self.call_export(export, "begin").await {
            return Some(false);
        }
        let _transferring = self.link.lock().await;
        self.state().held.get(&number)?;
        while self.state().faults.stall_transfers {
            time::sleep(Duration::from_millis(50)).await;
            self.state().held.get(&number)?;
        }
        let tokens = self.prompt_tokens(prompt) as f64;
        time::sleep(Duration::from_secs_f64(tokens / self.config.link_tokens_per_s)).await;
        Some(self.call_export(export, "end").await)
    }

    async fn call_export(&self, export: &Export, step: &str) -> bool {
        let url = format!("http://{}/__kv/{}/{step}", export.address, export.number);
        let called = http::call_json(&self.client, hyper::Method::POST, &url, &json!({})).await;
        called.is_ok_and(|(status, _)| status.is_success())
    }

    /// Begins or ends the import of an exported KV cache by another engine.
    fn export_step(&self, number: ledger::ExecutionNumber, step: &str) -> bool {
        let mut state = self.state();
        if state.faults.evict_kv_on_arrival {
            state.release(number, ledger::Outcome::Evicted);
        }
        let Some(held) = state.held.get_mut(&number) else { return false };
        if held.phase != state::Phase::Exported {
            return false;
        }
        held.import_begun = true;
        if step == "end" {
            state.release(number, ledger::Outcome::Delivered);
        }
        true
    }

    fn kv_gone(&self, number: ledger::ExecutionNumber) -> Option<()> {
        self.advance(number, |progress| progress.kv_gone = true)?;
        self.state().release(number, ledger::Outcome::KvGone);
        None
    }

    fn set_phase(&self, number: ledger::ExecutionNumber, phase: state::Phase) -> Option<()> {
        self.state().held.get_mut(&number)?.phase = phase;
        Some(())
    }

    /// Tells the readers about progress; returns the length of the answer.
    fn advance(
        &self,
        number: ledger::ExecutionNumber,
        change: impl FnOnce(&mut state::Progress),
    ) -> Option<usize> {
        let state = self.state();
        let held = state.held.get(&number)?;
        held.progress.send_modify(change);
        Some(held.length)
    }

    fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = self.config.prefill_tokens_per_s * self.config.prefill_speed;
        Duration::from_secs_f64(tokens as f64 / rate * self.state().faults.slow_factor)
    }

    fn token_time(&self) -> Duration {
        let state = self.state();
        let batch = 1.0 + state.running() as f64 / BATCH_SLOWDOWN_REQUESTS;
        let factor = batch * state.faults.slow_factor / self.config.decode_speed;
        self.config.token_time.mul_f64(factor)
    }
}
