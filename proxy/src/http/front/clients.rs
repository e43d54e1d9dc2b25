//! The connections of clients: how many may be open, and which one yields its place.

use super::conversation::{Conversation, Stage};
use super::presence::{Activity, Phase};
use super::Driver;
use flaxhead_policy::{Access, Admission};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_local, yield_now, JoinHandle};
use tokio::time::{sleep, Instant};

/// A connection that had its last answer this long ago has surely sent it.
const IDLE_LEAST: Duration = Duration::from_secs(1);
/// Time from a connection's start for its first request, whole: a peer that sends something else, or nothing, is
/// closed. The terms allow 3 s.
const FIRST_TIME: Duration = Duration::from_millis(2_500);
/// Pause after a failure to accept, which descriptors that are set free must end.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// A client's connection.
pub(super) struct Client {
    task: JoinHandle<()>,
    activity: Rc<Activity>,
}

impl Client {
    /// Since when no request has been open on it, if none is.
    fn idle(&self) -> Option<Duration> {
        (self.activity.phase() != Phase::Waiting).then(|| self.activity.age())
    }
}

/// The connections of clients.
pub(super) struct Clients {
    pub(super) driver: Driver,
    pub(super) access: Option<Rc<Access>>,
    /// Tells all connections how far the proxy's stop has come.
    pub(super) stage: watch::Sender<Stage>,
    pub(super) open: Vec<Client>,
}

impl Clients {
    /// Waits until one more connection may be open. At the limit the one that has been idle the longest is
    /// closed: clients that keep connections and say nothing must not keep others out.
    pub(super) async fn room(&mut self) {
        while !self.has_room() {
            let oldest = self.open.iter().filter_map(|c| Some((c.idle()?, c))).max_by_key(|(idle, _)| *idle);
            // One that has just been answered may still have its answer on the way.
            match oldest.filter(|(idle, _)| *idle > IDLE_LEAST) {
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

    /// Waits until no connection is open.
    pub(super) async fn ended(&mut self) {
        while let Some(client) = self.open.last_mut() {
            // One that was closed for its place has ended as well.
            let _ = (&mut client.task).await;
            self.open.pop();
        }
    }

    pub(super) fn serve(&mut self, stream: TcpStream, peer: IpAddr) {
        let (peer, access) = (peer.to_canonical(), self.access.clone());
        if access.as_ref().is_some_and(|access| access.peer(peer) == Admission::Close) {
            return tracing::info!(client = %peer, "closed: not allowed");
        }
        if let Err(error) = stream.set_nodelay(true) {
            tracing::info!("nodelay: {error}");
        }
        let activity = Rc::new(Activity::new());
        let conversation = Conversation {
            driver: self.driver.clone(),
            activity: activity.clone(),
            stage: self.stage.subscribe(),
            first_due: Instant::now() + FIRST_TIME,
        };
        let task = spawn_local(async move {
            match access {
                None => conversation.hold(stream).await,
                Some(access) => conversation.begin(&access, stream, peer).await,
            }
        });
        self.open.push(Client { task, activity });
    }
}
