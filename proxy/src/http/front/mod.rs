//! The application's side: takes requests in and gives each its one answer.

mod abandoned;
mod activity;
mod answer;
mod client_stream;
mod clients;
mod connection;
mod input;
mod request;
mod socket;
mod throttle;

use super::Engine;
use crate::config::Config;
use crate::features::quota::AdmissionQueues;
use crate::memory::Memory;
pub use abandoned::AbandonedCalls;
pub use socket::PrefixedStream;
pub use throttle::Throttle;

use clients::{Clients, ACCEPT_RETRY_DELAY};
use connection::ShutdownStage;
use flaxhead_policy::Access;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long new connections are still taken after the order to stop; they come for up to 0.4 s.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(500);
/// The process may be killed once the longest deadline, and this at the most, and 0.7 s have passed since the order to
/// stop.
const MAX_STOP_DEADLINE: Duration = Duration::from_secs(3);
/// How long after the longest deadline what is still open is answered, so that the answers are out before that.
const STOP_ANSWER_DELAY: Duration = Duration::from_millis(550);
/// Time for those answers.
const STOP_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// How long another connection that the machine has accepted is looked for: any time at all lets the system tell of it.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1);

/// What a front hands requests to, and what it checks them by.
#[derive(Clone)]
pub struct Driver {
    /// Gives each its answer.
    pub engine: Engine,
    /// Names of classes and tenants, and the limits.
    pub config: Rc<Config>,
    /// Where calls wait for their tenant's units, if tenants share any.
    pub queues: Option<AdmissionQueues>,
    /// Where requests are held.
    pub memory: Memory,
    /// Calls that must not run when they come again.
    pub abandoned: AbandonedCalls,
    /// Limits answers that no host works for.
    pub throttle: Rc<Throttle>,
}

/// Listens at an address. A proxy that was killed leaves connections behind there, which must not keep the
/// next one from starting.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves until `stop` is done, then goes on for as long as new connections may come, then closes connections
/// between requests and returns when none is left. Whom it serves `access` says, if the operators do.
pub async fn serve(
    listener: TcpListener,
    driver: Driver,
    access: Option<Access>,
    stop: impl Future<Output = ()>,
) {
    let access = access.map(Rc::new);
    let longest = driver.config.longest_deadline().min(MAX_STOP_DEADLINE);
    let (engine, queues) = (driver.engine.clone(), driver.queues.clone());
    let mut clients =
        Clients { driver, access, stage: watch::Sender::new(ShutdownStage::Serving), open: Vec::new() };
    let told = accept_until_stopped(&listener, &mut clients, stop).await;
    // What the machine has accepted by now has been taken: closing the listener would reset it.
    while clients.has_capacity() {
        let Ok(Ok((stream, peer))) = timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await else { break };
        clients.serve(stream, peer.ip());
    }
    drop(listener);
    clients.stage.send_replace(ShutdownStage::Closing);
    // Nothing that was taken goes without an answer, also where its client would wait for longer than the process lives.
    if timeout_at(told + longest + STOP_ANSWER_DELAY, clients.wait_for_all_closed()).await.is_err() {
        clients.stage.send_replace(ShutdownStage::Answered);
        answer_open_calls(&engine, queues.as_ref());
        // Whoever has sent half a request by then, or does not read its answer, must not keep the process.
        let _ = timeout(STOP_FLUSH_TIMEOUT, clients.wait_for_all_closed()).await;
    }
}

/// Takes connections until `stop` is done, and for as long after that as new ones may come. Returns when `stop` was done.
async fn accept_until_stopped(
    listener: &TcpListener,
    clients: &mut Clients,
    stop: impl Future<Output = ()>,
) -> Instant {
    let mut stop = pin!(async {
        stop.await;
        let told = Instant::now();
        sleep(STOP_ACCEPT_TIME).await;
        told
    });
    loop {
        tokio::select! {
            () = clients.wait_for_capacity() => {}
            told = &mut stop => return told,
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    clients.serve(stream, peer.ip());
                    // Those that come without end must not keep the others from their turn.
                    yield_now().await;
                }
                Err(error) => {
                    tracing::info!("accept: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            told = &mut stop => return told,
        }
    }
}

/// Answers all calls that are still open.
fn answer_open_calls(engine: &Engine, queues: Option<&AdmissionQueues>) {
    // The queues first: permits that completed calls return must not admit further ones.
    if let Some(queues) = queues {
        let rejected = queues.close();
        tracing::info!("stop: rejected {rejected} calls that waited for a permit");
    }
    engine.complete_all_calls();
}
