//! The features that are switched on, opened before the proxy serves: what cannot be opened ends the start.

use crate::audit::Trail;
use crate::config::Config;
use crate::driver::Hooks;
use crate::features::Features;
use crate::status::{Board, Page};
use crate::{output, server};
use std::net::SocketAddr;

/// What is on.
#[derive(Debug, Default)]
pub struct Side {
    /// The status page.
    pub status: Option<Page>,
    /// The audit trail.
    pub trail: Option<Trail>,
}

impl Side {
    /// Opens what the features need, and sets the descriptors for it aside.
    pub fn open(features: Features, config: &mut Config) -> Result<Side, String> {
        let status = features.status.and_then(|status| Some((status.listen_port?, status.refresh)));
        let status = status.map(|(port, refresh)| {
            let address = SocketAddr::new(config.listen.ip(), port);
            let listener =
                server::listen(address).map_err(|e| format!("[status] listen_port: {address}: {e}"))?;
            Ok::<_, String>(Page::new(listener, refresh))
        });
        let status = status.transpose()?;
        if features.audit.as_ref().is_some_and(|audit| audit.dir.is_none()) {
            output::start().map_err(|e| e.to_string())?;
        }
        let trail = features.audit.as_ref().map(Trail::open).transpose()?;
        let side = Side { status, trail };
        config.side_descriptors = side.descriptors();
        Ok(side)
    }

    fn descriptors(&self) -> usize {
        let status = self.status.as_ref().map_or(0, |_| Page::DESCRIPTORS);
        status + self.trail.as_ref().map_or(0, |_| Trail::DESCRIPTORS)
    }

    /// What the driver tells the features.
    pub fn hooks(&self) -> Hooks {
        Hooks { board: self.status.as_ref().map(|_| Board::default()), trail: self.trail.clone() }
    }
}
