//! Quotas of connection capacity: admission control before the engine, and what the proxies agree upon for it. Off where
//! proxies may not talk to each other.

mod participant;
mod queues;
mod settings;
mod view;

pub use queues::{Admission, AdmissionQueues};
pub use settings::{Settings, SettingsError};
pub use view::{QuotaStatus, TenantStatus};

use super::hosts::HostMonitor;
use crate::config::Config;
use crate::http::Engine;
use flaxhead_coordination::{Coordinator, StateStore};
use flaxhead_peers::{Channel, Peers};
use flaxhead_quota::admission::{AdmissionConfig, ClassTiming};
use flaxhead_quota::{LocalQuota, QuotaApplication, QuotaTiming, TenantRegistry};
use participant::QuotaParticipant;
use std::rc::Rc;

/// The feature that `[shares]` switches on.
#[derive(Clone, Debug)]
pub struct Quota {
    /// The queues of the tenants.
    pub queues: AdmissionQueues,
    registry: TenantRegistry,
    /// `None`: nothing is agreed upon with any other process, and the guaranteed minimums are all.
    coordinator: Option<Coordinator<QuotaApplication>>,
}

impl Quota {
    /// Checks the settings against the configuration, and starts. The processes agree over these peers; without any, this
    /// one uses its guaranteed minimums, and assumes that it has a slot.
    ///
    /// # Errors
    ///
    /// Where the settings do not fit the configuration.
    pub fn open(
        settings: Settings,
        config: &Config,
        peers: Option<Peers>,
        store: Option<StateStore<QuotaApplication>>,
    ) -> Result<Quota, SettingsError> {
        let registry = settings.registry(config)?;
        let classes = classes(config);
        let timing = QuotaTiming {
            lease: settings.lease,
            max_call_duration: classes.iter().map(|class| class.deadline).max().unwrap_or(0),
            autonomy_timeout: settings.autonomy_timeout,
        };
        let admission = AdmissionConfig {
            classes,
            tenant_count: registry.tenants.len(),
            // A client has one request open on a connection: more than that never wait.
            max_queue: config.connections_each_way(),
            max_retry_after: config.settings.limits.max_retry_after,
        };
        let mut local = LocalQuota::new(0, registry.clone(), timing.clone());
        if peers.is_none() {
            local.assume_slot();
        }
        let queues = AdmissionQueues::new(admission, local.allowance(0), peers.is_some());
        let coordinator = peers.map(|peers| {
            let settings = flaxhead_coordination::Settings {
                channel: Channel::QUOTA,
                voters: settings.voters,
                config: QuotaApplication::config(&timing),
                application: QuotaApplication::new(0, registry.clone(), timing),
            };
            Coordinator::start(settings, peers, config.seed.rotate_left(48), store)
        });
        Ok(Quota { queues, registry, coordinator })
    }

    /// Serves the queues and takes part in the agreement, until it is dropped.
    pub async fn serve(&self, engine: Engine, known: HostMonitor) {
        let Some(coordinator) = &self.coordinator else { return self.queues.serve().await };
        let participant = Rc::new(QuotaParticipant::new(self.queues.clone(), known, engine));
        tokio::join!(
            self.queues.serve(),
            coordinator.serve(participant),
            participant::report_early(&self.queues, coordinator),
            participant::log_reasons(coordinator),
        );
    }

    /// What operators see now.
    pub fn status(&self) -> QuotaStatus {
        QuotaStatus::new(&self.registry, &self.queues, self.coordinator.as_ref())
    }
}

fn classes(config: &Config) -> Vec<ClassTiming> {
    let class = |class: &flaxhead_policy::Class| ClassTiming {
        latency_objective: class.objective,
        deadline: class.deadline,
    };
    config.settings.classes.iter().map(class).collect()
}
