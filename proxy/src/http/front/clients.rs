//! The connections of clients: how many may be open, and which one yields its place.

use super::activity::{Activity, Phase};
use super::connection::{ClientConnection, ShutdownStage};
use super::Driver;
use flaxhead_policy::{Access, PeerAccess};
use std::cmp::Reverse;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::{sleep, Instant};

/// How long a connection keeps its place from others that wait for one, by what it does. A client sends as it connects,
/// and a fraction of a millisecond lies between the two: one that has said nothing for so long has nothing to say.
const MIN_NEW_AGE: Duration = Duration::from_millis(50);
/// One that was answered so long ago has surely got its answer.
const MIN_IDLE_AGE: Duration = Duration::from_millis(250);
/// A request that is under way comes piece by piece, and nothing has come of this one for so long.
const MIN_READING_AGE: Duration = Duration::from_millis(500);
/// Time from a connection's start for its first request, whole: a peer that sends something else, or nothing, is
/// closed. The terms allow 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after a failure to accept, which descriptors that are set free must end.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A client's connection.
pub(super) struct Client {
    task: JoinHandle<()>,
    activity: Rc<Activity>,
}

impl Client {
    /// How readily it gives up its place, the readiest first; `None`: it keeps it.
    fn eviction_rank(&self) -> Option<(u8, Reverse<Duration>)> {
        let age = self.activity.age();
        let (rank, least) = match self.activity.phase() {
            Phase::Closing => (0, Duration::ZERO),
            Phase::New => (1, MIN_NEW_AGE),
            Phase::Reading => (1, MIN_READING_AGE),
            Phase::Idle => (2, MIN_IDLE_AGE),
            Phase::Responding => return None,
        };
        (age >= least).then_some((rank, Reverse(age)))
    }
}

/// The connections of clients.
pub(super) struct Clients {
    pub(super) driver: Driver,
    pub(super) access: Option<Rc<Access>>,
    /// Tells all connections how far the proxy's stop has come.
    pub(super) stage: watch::Sender<ShutdownStage>,
    pub(super) open: Vec<Client>,
}

impl Clients {
    /// Waits until one more connection may be open. At the limit one without a request is closed, first of all one
    /// that has never had any: clients that keep connections and say nothing must not keep others out.
    pub(super) async fn wait_for_capacity(&mut self) {
        while !self.has_capacity() {
            let ready = self.open.iter().filter_map(|client| Some((client.eviction_rank()?, client)));
            match ready.min_by_key(|(rank, _)| *rank) {
                Some((_, client)) => client.task.abort(),
                None => sleep(ACCEPT_RETRY_DELAY).await,
            }
            yield_now().await;
        }
    }

    pub(super) fn has_capacity(&mut self) -> bool {
        self.open.retain(|client| !client.task.is_finished());
        self.open.len() < self.driver.config.connections_each_way()
    }

    /// Waits until no connection is open.
    pub(super) async fn wait_for_all_closed(&mut self) {
        while let Some(client) = self.open.last_mut() {
            // One that was closed for its place has ended as well.
            let _ = (&mut client.task).await;
            self.open.pop();
        }
    }

    pub(super) fn serve(&mut self, stream: TcpStream, peer: IpAddr) {
        let (peer, access) = (peer.to_canonical(), self.access.clone());
        if access.as_ref().is_some_and(|access| access.check_peer(peer) == PeerAccess::Deny) {
            return tracing::info!(client = %peer, "closed: not allowed");
        }
        if let Err(error) = stream.set_nodelay(true) {
            tracing::info!("nodelay: {error}");
        }
        let activity = Rc::new(Activity::new());
        let conversation = ClientConnection {
            driver: self.driver.clone(),
            activity: activity.clone(),
            stage: self.stage.subscribe(),
            first_due: Instant::now() + FIRST_REQUEST_TIMEOUT,
        };
        let task = spawn_local(async move {
            match access {
                None => conversation.serve(stream).await,
                Some(access) => conversation.admit(&access, stream, peer).await,
            }
        });
        self.open.push(Client { task, activity });
    }
}
