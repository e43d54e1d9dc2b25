//! The connections of clients: how many may be open, and which one yields its place.

use super::conversation::Conversation;
use super::Driver;
use flaxhead_policy::{Access, Admission};
use hyper_util::server::graceful::GracefulShutdown;
use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::{sleep, Instant};

/// A connection that had its last answer this long ago has surely sent it.
const IDLE_LEAST: Duration = Duration::from_secs(1);
/// Time from a connection's start for its first request, whole: a peer that sends something else, or nothing, is
/// closed. The terms allow 3 s.
const FIRST_TIME: Duration = Duration::from_millis(2_500);
/// Pause after a failure to accept, which descriptors that are set free must end.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A client's connection: its task, and since when no request is open on it (`None`: one is).
pub(super) struct Client {
    task: JoinHandle<()>,
    idle: Rc<Cell<Option<Instant>>>,
}

/// The connections of clients.
pub(super) struct Clients {
    pub(super) driver: Driver,
    pub(super) access: Option<Rc<Access>>,
    pub(super) graceful: GracefulShutdown,
    pub(super) open: Vec<Client>,
}

impl Clients {
    /// Waits until one more connection may be open. At the limit the one that has been idle the longest is
    /// closed: clients that keep connections and say nothing must not keep others out.
    pub(super) async fn room(&mut self) {
        while !self.has_room() {
            let oldest = self.open.iter().filter_map(|c| Some((c.idle.get()?, c))).min_by_key(|(at, _)| *at);
            // One that has just been answered may still have its answer on the way.
            match oldest.filter(|(since, _)| since.elapsed() > IDLE_LEAST) {
                Some((_, client)) => client.task.abort(),
                None => sleep(ACCEPT_PAUSE).await,
            }
            yield_now().await;
        }
    }

    pub(super) fn has_room(&mut self) -> bool {
        self.open.retain(|client| !client.task.is_finished());
        self.open.len() < self.driver.config.connections_each_way()
    }

    pub(super) fn serve(&mut self, stream: TcpStream, peer: IpAddr) {
        let (peer, access) = (peer.to_canonical(), self.access.clone());
        if access.as_ref().is_some_and(|access| access.peer(peer) == Admission::Close) {
            return tracing::info!(client = %peer, "closed: not allowed");
        }
        if let Err(error) = stream.set_nodelay(true) {
            tracing::info!("nodelay: {error}");
        }
        let idle = Rc::new(Cell::new(Some(Instant::now())));
        let conversation = Conversation {
            driver: self.driver.clone(),
            idle: idle.clone(),
            watcher: self.graceful.watcher(),
            first_due: Instant::now() + FIRST_TIME,
        };
        let task = spawn_local(async move {
            match access {
                None => conversation.hold(stream).await,
                Some(access) => conversation.begin(&access, stream, peer).await,
            }
        });
        self.open.push(Client { task, idle });
    }
}
