//! The features that are switched on, opened before the proxy serves: what cannot be opened ends the start.

use crate::audit::Trail;
use crate::capture::{Dumps, Recorder};
use crate::config::Config;
use crate::driver::Hooks;
use crate::features::Features;
use crate::status::{Board, Page};
use crate::{output, server};
use ochrepond::Access;
use std::fs;
use std::net::SocketAddr;
use tokio::signal::unix::{signal, SignalKind};

/// What is on.
#[derive(Debug, Default)]
pub struct Side {
    /// The status page.
    pub status: Option<Page>,
    /// The audit trail.
    pub trail: Option<Trail>,
    /// Capture's ring.
    pub recorder: Option<Recorder>,
    /// What writes it out.
    pub dumps: Option<Dumps>,
    /// Address lists.
    pub access: Option<Access>,
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
        let (audit, capture) = (features.audit.as_ref(), features.capture.as_ref());
        if features.access.is_some() {
            output::name_clients();
        }
        // What these write must not wait for whoever reads it, nor keep the log waiting.
        if features.access.is_some() || audit.is_some() || capture.is_some() || features.log.is_some() {
            output::start().map_err(|e| e.to_string())?;
        }
        let trail = audit.map(Trail::open).transpose()?;
        let dumps = capture.map(|capture| {
            if let Some(dir) = &capture.dir {
                fs::create_dir_all(dir).map_err(|e| format!("[capture] {}: {e}", dir.display()))?;
            }
            let asked = signal(SignalKind::user_defined1()).map_err(|e| format!("[capture] {e}"))?;
            Ok::<_, String>(Dumps::new(asked, capture.dir.clone()))
        });
        let recorder = capture.map(|capture| Recorder::new(capture, config.seed));
        let side = Side { status, trail, recorder, access: features.access, dumps: dumps.transpose()? };
        config.side_descriptors = side.descriptors();
        Ok(side)
    }

    fn descriptors(&self) -> usize {
        let status = self.status.as_ref().map_or(0, |_| Page::DESCRIPTORS);
        let trail = self.trail.as_ref().map_or(0, |_| Trail::DESCRIPTORS);
        status + trail + self.dumps.as_ref().map_or(0, Dumps::descriptors)
    }

    /// What the driver tells the features.
    pub fn hooks(&mut self) -> Hooks {
        let capture = self.recorder.take();
        Hooks { board: self.status.as_ref().map(|_| Board::default()), trail: self.trail.clone(), capture }
    }
}
