//! The features that are switched on, opened before the proxy serves: what cannot be opened ends the start.

use crate::config::Config;
use crate::driver::Hooks;
use crate::features::Features;
use crate::server;
use crate::status::{Board, Page};
use std::net::SocketAddr;

/// What is on.
#[derive(Debug, Default)]
pub struct Side {
    /// The status page.
    pub status: Option<Page>,
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
        let side = Side { status: status.transpose()? };
        config.side_descriptors = side.descriptors();
        Ok(side)
    }

    fn descriptors(&self) -> usize {
        self.status.as_ref().map_or(0, |_| Page::DESCRIPTORS)
    }

    /// What the driver tells the features.
    pub fn hooks(&self) -> Hooks {
        Hooks { board: self.status.as_ref().map(|_| Board::default()) }
    }
}
