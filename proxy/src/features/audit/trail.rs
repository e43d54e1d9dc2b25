//! The way to the thread that writes the trail.

use super::chain::{Actor, Chain, Change};
use super::error::{Error, Unusable};
use super::file::{resume, Sink};
use super::{Settings, FILE};
use crate::http::Http;
use flaxhead_engine::{EngineEvent, EngineView, Observer};
use std::fs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Changes that may wait to be written.
const MAX_QUEUED_CHANGES: usize = 1_024;
/// How long a stop waits for what is still to be written.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) enum Job {
    /// A change to write down.
    Change(Change),
    /// Tells when all before it is written.
    Mark(oneshot::Sender<()>),
}

/// The way to the thread that writes the trail.
#[derive(Clone, Debug)]
pub struct Trail {
    pub(super) jobs: mpsc::Sender<Job>,
    pub(super) lost: Arc<AtomicU64>,
}

impl Trail {
    /// Descriptors that it needs at the most.
    pub const DESCRIPTORS: usize = 1;

    /// Opens the trail, where it was left if there is one, and starts its thread.
    ///
    /// # Errors
    ///
    /// Where the file cannot be opened or gone on with, or its thread cannot be started.
    pub fn open(settings: &Settings) -> Result<Trail, Error> {
        let (mut sink, mut chain, torn) = match &settings.dir {
            None => (Sink::Output, Chain::first(), None),
            Some(dir) => {
                let path = dir.join(FILE);
                let opened = fs::create_dir_all(dir).map_err(Unusable::Io).and_then(|()| resume(&path));
                opened.map_err(|reason| Error::File { path, reason })?
            }
        };
        let (jobs, queued) = mpsc::channel(MAX_QUEUED_CHANGES);
        let trail = Trail { jobs, lost: Arc::default() };
        let lost = trail.lost.clone();
        let record = move || record(queued, &lost, |change| sink.append(&chain.link(change)));
        thread::Builder::new().name("audit".to_owned()).spawn(record).map_err(Error::Thread)?;
        if let Some(torn) = torn {
            trail.note("torn", Actor::Operator, &format!("a torn last line was taken out: {torn}"));
        }
        Ok(trail)
    }

    /// Notes a change; never waits.
    pub fn note(&self, event: &'static str, actor: Actor, detail: &str) {
        if self.jobs.try_send(Job::Change(Change::new(event, actor, detail))).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Notes the stop and waits until all is written, unless it cannot be.
    pub async fn close(&self) {
        let stop = Change::new("stop", Actor::Operator, "all that was taken is answered");
        let (done, written) = oneshot::channel();
        let all = async {
            // Without its thread there is nothing to wait for.
            if self.jobs.send(Job::Change(stop)).await.is_ok()
                && self.jobs.send(Job::Mark(done)).await.is_ok()
            {
                let _ = written.await;
            }
        };
        if timeout(STOP_TIMEOUT, all).await.is_err() {
            tracing::info!("audit: the trail could not be written to its end");
        }
    }
}

impl Observer<Http> for Trail {
    fn observe(&mut self, note: &EngineEvent<'_, Http>, _: &EngineView<'_, Http>) {
        if let EngineEvent::HealthChanged { host, health, .. } = note {
            self.note("health", Actor::Platform, &format!("{host} {health:?}"));
        }
    }
}

/// Writes changes down until nobody notes any. Numbers and hashes are given only here, so that what was lost on
/// the way leaves no hole in the chain.
pub(super) fn record(mut queued: mpsc::Receiver<Job>, lost: &AtomicU64, mut write: impl FnMut(&Change)) {
    while let Some(job) = queued.blocking_recv() {
        match job {
            Job::Change(change) => write(&change),
            // Whoever waited may have gone.
            Job::Mark(done) => drop(done.send(())),
        }
        let lost = lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let detail = format!("{lost} changes came while the queue was full and are not recorded");
            write(&Change::new("lost", Actor::Operator, &detail));
        }
    }
}
