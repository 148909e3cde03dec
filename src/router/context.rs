//! Shared state of an instance: feeds events to the fleet state and executes the effects it
//! returns.

use std::cell;
use std::net;
use std::rc;
use std::time;

use hyper::http;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::call;
use crate::core::fleet::decision;
use crate::core::fleet::message;
use crate::core::fleet::refusal;
use crate::core::ids;
use crate::router::body;
use crate::router::clock;
use crate::router::dialect;
use crate::router::lines;
use crate::router::memory;
use crate::router::meters;
use crate::router::upstream;

/// The timeout of a request that releases a KV cache handle.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The timeout of a query for the prompts that an engine holds; later it is of no use to the callers
/// that return after a failure.
const PROMPT_LIST_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A command of the fleet state to the task of a request.
#[derive(Debug)]
pub enum Command {
    /// The request was admitted.
    Admit {
        /// The request's deadline.
        expires: ids::Timestamp,
        /// Whether its response is a stream of events.
        is_stream: bool,
    },
    /// Send the request to a server.
    Send(fleet::Dispatch),
    /// Send the request to a second server, beside the first one.
    SendSecond(fleet::Dispatch),
    /// End the request without a response from a server.
    Refuse(refusal::Refusal),
    /// Deliver the last failed response, which the task has stored.
    Deliver,
}

/// Receives the commands for one request.
pub type Mailbox = tokio::sync::mpsc::UnboundedReceiver<Command>;

/// State shared by all tasks of an instance.
pub struct Context {
    /// This state, for tasks that it starts.
    own: rc::Weak<Self>,
    /// Translates HTTP messages of callers and servers.
    pub dialect: rc::Rc<dyn dialect::Dialect>,
    /// The memory that answers of servers take.
    pub memory: rc::Rc<memory::Memory>,
    /// The clock that the fleet state's timestamps come from.
    pub clock: clock::Clock,
    /// Notified when this instance's load has changed.
    load_change: tokio::sync::Notify,
    /// Notified of a change that peers should receive immediately.
    urgent_change: tokio::sync::Notify,
    /// Notified when the software versions of services are to be written to the store.
    pub version_change: tokio::sync::Notify,
    /// Notified when the origins of streams in the store are to be read.
    pub origin_lookup: tokio::sync::Notify,
    /// Whether this instance is stopping; responses then close their connections.
    pub stopping: tokio::sync::watch::Sender<bool>,
    /// Whether this instance takes no requests any more; connections end after the one in progress.
    pub closing: tokio::sync::watch::Sender<bool>,
    /// Whether this instance ends: requests without an answer get their final one.
    pub ending: tokio::sync::watch::Sender<bool>,
    /// The number of open connections of callers.
    pub caller_connections: cell::Cell<usize>,
    /// When the store's servers were last read, by this instance or by a peer that it asked.
    pub store_read_at: cell::Cell<Option<ids::Timestamp>>,
    /// The end of the servers' topic when it was last read.
    pub servers_end: cell::Cell<ids::StorePosition>,
    fleet: cell::RefCell<fleet::Fleet>,
    mailboxes: cell::RefCell<
        collections::Map<call::RequestNumber, tokio::sync::mpsc::UnboundedSender<Command>>,
    >,
    /// The number of the next request.
    next_request: cell::Cell<call::RequestNumber>,
    /// The UDP socket for messages to peers, set when gossip starts.
    peer_socket: cell::OnceCell<rc::Rc<tokio::net::UdpSocket>>,
}

impl Context {
    /// Creates the state of an instance that has just started.
    pub fn new(
        options: fleet::Options,
        dialect: rc::Rc<dyn dialect::Dialect>,
        memory_bytes: usize,
    ) -> rc::Rc<Self> {
        rc::Rc::new_cyclic(|own| Self {
            own: rc::Weak::clone(own),
            dialect,
            memory: memory::Memory::new(memory_bytes),
            clock: clock::Clock::start(),
            load_change: tokio::sync::Notify::new(),
            urgent_change: tokio::sync::Notify::new(),
            version_change: tokio::sync::Notify::new(),
            origin_lookup: tokio::sync::Notify::new(),
            stopping: tokio::sync::watch::Sender::new(false),
            closing: tokio::sync::watch::Sender::new(false),
            ending: tokio::sync::watch::Sender::new(false),
            caller_connections: cell::Cell::new(0),
            store_read_at: cell::Cell::new(None),
            servers_end: cell::Cell::new(0),
            fleet: cell::RefCell::new(fleet::Fleet::new(options)),
            mailboxes: cell::RefCell::default(),
            next_request: cell::Cell::new(0),
            peer_socket: cell::OnceCell::new(),
        })
    }

    /// Returns the present time.
    pub fn now(&self) -> ids::Timestamp {
        self.clock.now()
    }

    /// Waits until this instance ends.
    pub async fn wait_for_end(&self) {
        // The sender lives as long as this state.
        let _ = self.ending.subscribe().wait_for(|is_ending| *is_ending).await;
    }

    /// Assigns a request its number and creates its mailbox.
    pub fn open_mailbox(&self) -> (call::RequestNumber, Mailbox) {
        let request = self.next_request.get();
        self.next_request.set(request + 1);
        let (sender, mailbox) = tokio::sync::mpsc::unbounded_channel();
        self.mailboxes.borrow_mut().insert(request, sender);
        (request, mailbox)
    }

    /// Removes the mailbox of a request that has ended.
    pub fn close_mailbox(&self, request: call::RequestNumber) {
        self.mailboxes.borrow_mut().remove(&request);
    }

    /// Refuses a request whose head or body is malformed or too long, and logs the refusal.
    pub fn refuse_unreadable(
        &self,
        head: &http::request::Parts,
        reason: refusal::Reason,
    ) -> http::Response<body::Body> {
        let id = self.dialect.read_id(head);
        self.apply(fleet::Event::RequestUnreadable { id, reason });
        self.dialect.write_refusal(refusal::Refusal::new(reason))
    }

    /// Calls a function with the fleet state; for queries, as no effects are executed.
    pub fn read<T, F: FnOnce(&mut fleet::Fleet) -> T>(&self, read: F) -> T {
        read(&mut self.fleet.borrow_mut())
    }

    /// Applies an event to the fleet state and executes the resulting effects.
    pub fn apply(&self, event: fleet::Event) {
        let now = self.now();
        let effects = self.fleet.borrow_mut().apply(event, now);
        for effect in effects {
            self.execute(effect);
        }
    }

    fn execute(&self, effect: fleet::Effect) {
        match effect {
            fleet::Effect::Admit { request, expires, is_stream } => {
                self.command(request, Command::Admit { expires, is_stream });
            }
            fleet::Effect::Send { request, dispatch } => {
                self.command(request, Command::Send(dispatch));
            }
            fleet::Effect::SendSecond { request, dispatch } => {
                self.command(request, Command::SendSecond(dispatch));
            }
            fleet::Effect::Refuse { request, refusal } => {
                self.command(request, Command::Refuse(refusal));
            }
            fleet::Effect::DeliverFailure { request } => self.command(request, Command::Deliver),
            fleet::Effect::ReleaseKvCache { address, handle } => self.release(address, &handle),
            fleet::Effect::SendMessage { to, message } => self.send_to_peer(to, &message),
            fleet::Effect::ListPrompts { server, address } => self.list_prompts(server, address),
            fleet::Effect::ProbeServer { server, born_ms, address } => {
                self.probe(server, born_ms, address);
            }
            fleet::Effect::StoreVersions => self.version_change.notify_one(),
            fleet::Effect::ReadStreamOrigins => self.origin_lookup.notify_one(),
            fleet::Effect::PublishLoad => self.load_change.notify_one(),
            fleet::Effect::AnnounceChange => self.urgent_change.notify_one(),
            fleet::Effect::Log(decision) => self.log(&decision),
        }
    }

    /// Logs a decision and updates the metrics that depend on it.
    pub fn log(&self, decision: &decision::Decision) {
        meters::record_decision(decision);
        lines::write_decision(decision);
    }

    /// Waits for a change to send to peers without delay: an urgent one or, with `includes_load`, a
    /// change of load.
    pub async fn wait_for_change(&self, includes_load: bool) {
        if includes_load {
            tokio::select! {
                () = self.load_change.notified() => {}
                () = self.urgent_change.notified() => {}
            }
        } else {
            self.urgent_change.notified().await;
        }
    }

    /// Sets the socket for messages to peers.
    pub fn set_peer_socket(&self, socket: rc::Rc<tokio::net::UdpSocket>) {
        if self.peer_socket.set(socket).is_err() {
            log::error!(
                "the socket for messages to peers is set already; the first one stays in use"
            );
        }
    }

    /// Sends a message to a peer as a datagram. A loss is not detected here: the fleet state
    /// repeats messages that must arrive.
    fn send_to_peer(&self, to: net::SocketAddr, message: &message::Message) {
        let Some(socket) = self.peer_socket.get() else { return };
        match rmp_serde::to_vec(message) {
            Ok(datagram) => {
                if let Err(failure) = socket.try_send_to(&datagram, to) {
                    log::debug!("cannot send a message to peer {to}: {failure}");
                }
            }
            Err(failure) => log::error!("cannot encode a message to a peer: {failure}"),
        }
    }

    fn command(&self, request: call::RequestNumber, command: Command) {
        if let Some(mailbox) = self.mailboxes.borrow().get(&request) {
            // Sending fails if the request has ended in the meantime, which dropped its mailbox.
            let _ = mailbox.send(command);
        }
    }

    /// Queries the prompts that an engine holds and passes them to the fleet state.
    fn list_prompts(&self, server: ids::ServerId, address: net::SocketAddr) {
        let Some(context) = self.own.upgrade() else { return };
        let query = self.dialect.write_prompt_list_query(&server, address);
        tokio::task::spawn_local(async move {
            let name = String::from_utf8_lossy(&server).into_owned();
            let listing =
                tokio::time::timeout(PROMPT_LIST_TIMEOUT, upstream::call(address, query)).await;
            let response = match listing {
                Ok(Ok(response)) if response.status().is_success() => response,
                Ok(Ok(response)) => {
                    let status = response.status();
                    return log::warn!("server {name} did not list its prompts: status {status}");
                }
                Ok(Err(failure)) => {
                    return log::warn!("server {name} did not list its prompts: {failure}");
                }
                Err(_) => return log::warn!("server {name} did not list its prompts in time"),
            };
            match context.dialect.read_prompt_list(response.body()) {
                Ok(prompts) => {
                    log::info!("server {name} holds {} parts of prompts", prompts.len());
                    context.apply(fleet::Event::PromptsListed { server, prompts });
                }
                Err(failure) => {
                    log::warn!("ignoring the invalid list of prompts of server {name}: {failure}");
                }
            }
        });
    }

    /// Checks whether a process listens at the address of a server.
    fn probe(&self, server: ids::ServerId, born_ms: u64, address: net::SocketAddr) {
        let Some(context) = self.own.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let reachability = upstream::probe(address).await;
            context.apply(fleet::Event::ServerProbed { server, born_ms, reachability });
        });
    }

    fn release(&self, address: net::SocketAddr, handle: &str) {
        let request = self.dialect.write_release(address, handle);
        tokio::task::spawn_local(async move {
            let released = tokio::time::timeout(RELEASE_TIMEOUT, upstream::call(address, request));
            if !matches!(released.await, Ok(Ok(_))) {
                log::warn!(
                    "server {address} did not confirm the release of a KV cache handle, which will expire"
                );
            }
        });
    }
}
