//! A proxy before a server that delays, resets, silences and cuts one way.

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// What is done to bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    Clear,
    /// They pass later.
    Delay(time::Duration),
    /// Connections are reset.
    Reset,
    /// Answers do not come back.
    MuteAnswers,
    /// Nothing passes, and nothing is closed.
    Silent,
    /// Each request is answered by a head without end.
    EndlessHead,
    /// The server has ended: connections are reset, and new ones are refused.
    Ended,
}

/// The mode of a proxy, and whether it was disturbed.
#[derive(Debug, Clone)]
pub struct Switch(rc::Rc<cell::Cell<Mode>>, rc::Rc<tokio::sync::Notify>);

impl Switch {
    /// Changes what is done to bytes; a server that has ended stays so.
    pub fn set(&self, mode: Mode) {
        if self.0.get() != Mode::Ended {
            self.0.set(mode);
        }
        if mode == Mode::Ended {
            self.1.notify_waiters();
        }
    }

    /// Waits until the server ends.
    async fn ended(&self) {
        let mut ended = std::pin::pin!(self.1.notified());
        ended.as_mut().enable();
        if self.0.get() != Mode::Ended {
            ended.await;
        }
    }
}

/// Starts a proxy before an address.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn start(
    listen: net::SocketAddr,
    to: net::SocketAddr,
) -> io::Result<(net::SocketAddr, Switch)> {
    let listener = tokio::net::TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let switch = Switch(rc::Rc::new(cell::Cell::new(Mode::Clear)), rc::Rc::default());
    let mode = switch.clone();
    tokio::task::spawn_local(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = mode.ended() => return,
            };
            let Ok((caller, _)) = accepted else { return };
            if mode.0.get() == Mode::Reset {
                reset(&caller);
                continue;
            }
            if mode.0.get() == Mode::EndlessHead {
                tokio::task::spawn_local(write_endless_head(caller));
                continue;
            }
            let Ok(server) = tokio::net::TcpStream::connect(to).await else { continue };
            tokio::task::spawn_local(relay(caller, server, mode.clone()));
        }
    });
    Ok((address, switch))
}

/// Writes a head until the caller closes.
async fn write_endless_head(mut caller: tokio::net::TcpStream) {
    let mut part = b"HTTP/1.1 200 OK\r\n".to_vec();
    while caller.write_all(&part).await.is_ok() {
        part = b"x-field: endless\r\n".repeat(100);
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &tokio::net::TcpStream) {
    // Closing with unread bytes resets as well, so a failure here changes nothing.
    let _ = stream.set_zero_linger();
}

/// Passes bytes both ways. A failure of one side resets the other one: a normal close would end an
/// answer without a length as if it were whole.
async fn relay(
    mut caller: tokio::net::TcpStream,
    mut server: tokio::net::TcpStream,
    switch: Switch,
) {
    let (from_caller, to_caller) = caller.split();
    let (from_server, to_server) = server.split();
    let requests = pump(from_caller, to_server, &switch, false);
    let answers = pump(from_server, to_caller, &switch, true);
    let is_broken = tokio::select! {
        passed = async { tokio::try_join!(requests, answers) } => passed.is_err(),
        () = switch.ended() => true,
    };
    if is_broken {
        reset(&caller);
        reset(&server);
    }
}

async fn pump(
    mut from: tokio::net::tcp::ReadHalf<'_>,
    mut to: tokio::net::tcp::WriteHalf<'_>,
    switch: &Switch,
    is_answer: bool,
) -> io::Result<()> {
    let mut bytes = [0; 8_192];
    loop {
        let length = from.read(&mut bytes).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        match switch.0.get() {
            // A head without end is only for new connections.
            Mode::Clear | Mode::EndlessHead => {}
            Mode::Delay(delay) => tokio::time::sleep(delay).await,
            Mode::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
            Mode::MuteAnswers if !is_answer => {}
            Mode::Ended => return Err(io::ErrorKind::ConnectionReset.into()),
            Mode::MuteAnswers | Mode::Silent => std::future::pending().await,
        }
        to.write_all(&bytes[..length]).await?;
    }
}
