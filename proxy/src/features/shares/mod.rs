//! Connection capacity that tenants share: a gate before the engine, and what the proxies settle of it. Off where proxies
//! may not talk to each other.

mod driver;
mod lines;
mod settings;
mod shown;

pub use lines::{Entry, Lines};
pub use settings::{Misfit, Settings};
pub use shown::{Shown, TenantRow};

use super::hosts::Known;
use crate::config::Config;
use crate::http::Engine;
use driver::Keeper;
use flaxhead_coordination::{Coordinator, StateStore};
use flaxhead_peers::{Channel, Peers};
use flaxhead_quota::gate::{Class, Rules};
use flaxhead_quota::{Book, Held, Pace, Shares as SharesApplication};
use std::rc::Rc;

/// What `[shares]` needs to run.
#[derive(Clone, Debug)]
pub struct Shares {
    /// The lines of the tenants.
    pub lines: Lines,
    book: Book,
    /// `None`: nothing is settled with anybody, and the own parts are all.
    coordinator: Option<Coordinator<SharesApplication>>,
}

impl Shares {
    /// Checks the settings against the configuration and opens the gate. What is settled goes over these peers; without
    /// any the process goes by its own parts, with a seat that is taken for granted.
    pub fn open(
        settings: Settings,
        config: &Config,
        peers: Option<Peers>,
        disk: Option<StateStore<SharesApplication>>,
    ) -> Result<Shares, Misfit> {
        let book = settings.book(config)?;
        let class = |class: &flaxhead_policy::Class| Class { aim: class.aim, deadline: class.deadline };
        let classes: Vec<Class> = config.settings.classes.iter().map(class).collect();
        let longest_call = classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let rules = Rules {
            classes,
            tenants: book.tenants.len(),
            // A client has one request open on a connection: more than that never wait.
            line_most: config.connections_each_way(),
            max_retry_after: config.settings.limits.max_retry_after,
        };
        let pace = Pace { lease: settings.lease, longest_call, alone_after: settings.alone };
        let mut held = Held::new(0, book.clone(), pace.clone());
        if peers.is_none() {
            held.nobody_holds();
        }
        let lines = Lines::new(rules, held.allowance(0), peers.is_some());
        let coordinator = peers.map(|peers| {
            let (channel, voters, config_of) =
                (Channel::QUOTA, settings.voters, SharesApplication::config(&pace));
            let application = SharesApplication::new(0, book.clone(), pace);
            let settings =
                flaxhead_coordination::Settings { channel, voters, config: config_of, application };
            Coordinator::start(settings, peers, config.seed.rotate_left(48), disk)
        });
        Ok(Shares { lines, book, coordinator })
    }

    /// Serves the lines and takes part in what is settled, until it is dropped.
    pub async fn serve(&self, engine: Engine, known: Known) {
        let Some(coordinator) = &self.coordinator else { return self.lines.serve().await };
        let keeper = Rc::new(Keeper::new(self.lines.clone(), known, engine));
        tokio::join!(
            self.lines.serve(),
            coordinator.serve(keeper),
            driver::press(&self.lines, coordinator),
            driver::watch(coordinator),
        );
    }

    /// What there is to show now.
    pub fn shown(&self) -> Shown {
        Shown::new(&self.book, &self.lines, self.coordinator.as_ref())
    }
}
