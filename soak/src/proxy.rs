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
}

/// The mode of a proxy, and whether it was disturbed.
#[derive(Debug, Clone)]
pub struct Switch(rc::Rc<cell::Cell<Mode>>);

impl Switch {
    /// Changes what is done to bytes.
    pub fn set(&self, mode: Mode) {
        self.0.set(mode);
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
    let switch = Switch(rc::Rc::new(cell::Cell::new(Mode::Clear)));
    let mode = switch.clone();
    tokio::task::spawn_local(async move {
        while let Ok((caller, _)) = listener.accept().await {
            if mode.0.get() == Mode::Reset {
                reset(&caller);
                continue;
            }
            let Ok(server) = tokio::net::TcpStream::connect(to).await else { continue };
            let (from_caller, to_caller) = caller.into_split();
            let (from_server, to_server) = server.into_split();
            tokio::task::spawn_local(pump(from_caller, to_server, mode.clone(), false));
            tokio::task::spawn_local(pump(from_server, to_caller, mode.clone(), true));
        }
    });
    Ok((address, switch))
}

/// Makes the close of a connection a reset.
fn reset(stream: &tokio::net::TcpStream) {
    // Closing with unread bytes resets as well, so a failure here changes nothing.
    let _ = stream.set_zero_linger();
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    switch: Switch,
    is_answer: bool,
) {
    let mut bytes = [0; 8_192];
    while let Ok(length) = from.read(&mut bytes).await {
        if length == 0 {
            break;
        }
        match switch.0.get() {
            Mode::Clear => {}
            Mode::Delay(delay) => tokio::time::sleep(delay).await,
            Mode::Reset => {
                reset(from.as_ref());
                return;
            }
            Mode::MuteAnswers if !is_answer => {}
            Mode::MuteAnswers | Mode::Silent => std::future::pending().await,
        }
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
    // The other side may have closed already.
    let _ = to.shutdown().await;
}
