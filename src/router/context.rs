//! The state of the instance and the requests that wait for its decisions.

use std::cell;
use std::net;
use std::rc;
use std::time;

use hyper::http;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::call;
use crate::core::fleet::message;
use crate::core::fleet::refusal;
use crate::core::ids;
use crate::router::body;
use crate::router::clock;
use crate::router::dialect;
use crate::router::lines;
use crate::router::meters;
use crate::router::upstream;

/// The longest time in which a prompt's memory is freed.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// What a request is told.
#[derive(Debug)]
pub enum Command {
    /// It is admitted.
    Admit {
        /// When its time is over.
        expires: ids::Timestamp,
        /// Whether its answer may be resumed after an event.
        is_resumable: bool,
        /// Whether its answer is a stream.
        is_stream: bool,
    },
    /// It goes to a server.
    Send(fleet::Dispatch),
    /// It ends without a server's answer.
    Refuse(refusal::Refusal),
    /// The failed answer that was kept is passed on.
    Deliver,
}

/// Commands to one request.
pub type Mailbox = tokio::sync::mpsc::UnboundedReceiver<Command>;

/// Everything that the tasks of one instance share.
pub struct Context {
    /// What callers and servers speak.
    pub dialect: rc::Rc<dyn dialect::Dialect>,
    /// The clock of all decisions.
    pub clock: clock::Clock,
    load_change: tokio::sync::Notify,
    urgent_change: tokio::sync::Notify,
    /// Whether this instance stops; answers then close their connections.
    pub stopping: tokio::sync::watch::Sender<bool>,
    /// When the store was read last, here or at a peer that told of it.
    pub store_read_at: cell::Cell<Option<ids::Timestamp>>,
    /// Where the store's list of servers ended when it was read last.
    pub servers_end_offset: cell::Cell<ids::Offset>,
    fleet: cell::RefCell<fleet::Fleet>,
    mailboxes: cell::RefCell<
        collections::Map<call::RequestNumber, tokio::sync::mpsc::UnboundedSender<Command>>,
    >,
    next_request: cell::Cell<call::RequestNumber>,
    peer_socket: cell::OnceCell<rc::Rc<tokio::net::UdpSocket>>,
}

impl Context {
    /// Creates the state of an instance that has just started.
    pub fn new(options: fleet::Options, dialect: rc::Rc<dyn dialect::Dialect>) -> Self {
        Self {
            dialect,
            clock: clock::Clock::start(),
            load_change: tokio::sync::Notify::new(),
            urgent_change: tokio::sync::Notify::new(),
            stopping: tokio::sync::watch::Sender::new(false),
            store_read_at: cell::Cell::new(None),
            servers_end_offset: cell::Cell::new(0),
            fleet: cell::RefCell::new(fleet::Fleet::new(options)),
            mailboxes: cell::RefCell::default(),
            next_request: cell::Cell::new(0),
            peer_socket: cell::OnceCell::new(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> ids::Timestamp {
        self.clock.now()
    }

    /// Gives a request a number and a mailbox.
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

    /// Refuses a request that cannot be read.
    pub fn refuse_unreadable(
        &self,
        head: &http::request::Parts,
        reason: refusal::Reason,
    ) -> http::Response<body::Body> {
        let id = self.dialect.read_id(head);
        self.apply(fleet::Event::RequestUnreadable { id, reason });
        self.dialect.write_refusal(refusal::Refusal::new(reason))
    }

    /// Reads from the state.
    pub fn read<T, F: FnOnce(&mut fleet::Fleet) -> T>(&self, read: F) -> T {
        read(&mut self.fleet.borrow_mut())
    }

    /// Takes an event and carries its effects out.
    pub fn apply(&self, event: fleet::Event) {
        let now = self.now();
        let effects = self.fleet.borrow_mut().apply(event, now);
        for effect in effects {
            self.execute(effect);
        }
    }

    fn execute(&self, effect: fleet::Effect) {
        match effect {
            fleet::Effect::Admit { request, expires, is_resumable, is_stream } => {
                self.command(request, Command::Admit { expires, is_resumable, is_stream });
            }
            fleet::Effect::SendRequest { request, dispatch } => {
                self.command(request, Command::Send(dispatch));
            }
            fleet::Effect::Refuse { request, refusal } => {
                self.command(request, Command::Refuse(refusal));
            }
            fleet::Effect::DeliverFailure { request } => self.command(request, Command::Deliver),
            fleet::Effect::ReleaseKvCache { address, handle } => self.release(address, &handle),
            fleet::Effect::SendMessage { to, message } => self.send_to_peer(to, &message),
            fleet::Effect::PublishLoad => self.load_change.notify_one(),
            fleet::Effect::AnnounceChange => self.urgent_change.notify_one(),
            fleet::Effect::Log(decision) => {
                meters::record_decision(&decision);
                lines::write_decision(&decision);
            }
        }
    }

    /// Waits for something that peers should hear at once: a change that all should know, or, with
    /// `includes_load`, changed load.
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

    /// Names the socket for messages to peers.
    pub fn set_peer_socket(&self, socket: rc::Rc<tokio::net::UdpSocket>) {
        if self.peer_socket.set(socket).is_err() {
            log::error!("the socket for peers was named twice; the first one stays");
        }
    }

    /// Sends a message to a peer; what must arrive is said again by the decisions.
    fn send_to_peer(&self, to: net::SocketAddr, message: &message::Message) {
        let Some(socket) = self.peer_socket.get() else { return };
        match rmp_serde::to_vec(message) {
            Ok(datagram) => {
                if let Err(failure) = socket.try_send_to(&datagram, to) {
                    log::debug!("a message to {to} was not sent: {failure}");
                }
            }
            Err(failure) => log::error!("a message cannot be written: {failure}"),
        }
    }

    fn command(&self, request: call::RequestNumber, command: Command) {
        if let Some(mailbox) = self.mailboxes.borrow().get(&request) {
            // A request that has ended meanwhile has dropped its mailbox.
            let _ = mailbox.send(command);
        }
    }

    fn release(&self, address: net::SocketAddr, handle: &str) {
        let request = self.dialect.write_release(address, handle);
        tokio::task::spawn_local(async move {
            let released = tokio::time::timeout(RELEASE_TIMEOUT, upstream::call(address, request));
            if !matches!(released.await, Ok(Ok(_))) {
                log::warn!("memory at {address} was not freed; it lapses by itself");
            }
        });
    }
}
