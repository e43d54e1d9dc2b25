//! What is recorded for the status page as it happens.

use crate::http::Http;
use flaxhead_engine::{EngineEvent, EngineView, Health, Observer};
use flaxhead_policy::{ClassId, Outcome, ServerId};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Errors that are kept of a host.
const MAX_ERRORS_PER_HOST: usize = 3;

/// Errors and requests so far.
#[derive(Debug, Default)]
pub(super) struct StatusRecords {
    errors: HashMap<ServerId, VecDeque<&'static str>>,
    /// By class.
    requests: Vec<u64>,
}

impl StatusRecords {
    fn record_request(&mut self, ClassId(class): ClassId) {
        if self.requests.len() <= class {
            self.requests.resize(class + 1, 0);
        }
        self.requests[class] += 1;
    }

    pub(super) fn record_outcome(&mut self, server: ServerId, outcome: Outcome) {
        if let Some(error) = outcome.error_label() {
            let errors = self.errors.entry(server).or_default();
            errors.truncate(MAX_ERRORS_PER_HOST - 1);
            errors.push_front(error);
        }
    }

    /// The last errors of a host, the latest last.
    pub(super) fn errors(&self, server: ServerId) -> Vec<&'static str> {
        self.errors.get(&server).into_iter().flatten().rev().copied().collect()
    }

    /// Requests of a class since the start.
    pub(super) fn requests(&self, ClassId(class): ClassId) -> u64 {
        self.requests.get(class).copied().unwrap_or(0)
    }
}

/// The records, shared by the engine, which adds to them, and the page.
#[derive(Clone, Debug, Default)]
pub struct StatusRecorder(pub(super) Rc<RefCell<StatusRecords>>);

impl Observer<Http> for StatusRecorder {
    fn observe(&mut self, event: &EngineEvent<'_, Http>, _: &EngineView<'_, Http>) {
        let mut records = self.0.borrow_mut();
        match *event {
            // The front has checked the class.
            EngineEvent::CallReceived { class, .. } => records.record_request(class),
            EngineEvent::AttemptEnded { server, outcome } => records.record_outcome(server, outcome),
            EngineEvent::HealthChanged { server, health: Health::Gone, .. } => {
                records.errors.remove(&server);
            }
            _ => {}
        }
    }
}
