//! What of an engine's doing is recorded.

use super::{Item, Recorder};
use crate::http::{code, Http};
use flaxhead_engine::{EngineEvent, EngineView, HostView, Observer};
use std::borrow::Cow;
use std::cell::RefCell;
use std::rc::Rc;

/// Most characters of what a client says: its headers may be far longer.
const MAX_HEADER_CHARS: usize = 64;

/// What a client said in a header, cut to a bounded length.
fn header_text(headers: &hyper::HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    value.chars().take(MAX_HEADER_CHARS).collect()
}

/// Records what an engine does in a ring.
pub struct CaptureObserver {
    ring: Rc<RefCell<Recorder>>,
}

impl CaptureObserver {
    /// Records into a ring.
    pub fn new(ring: Rc<RefCell<Recorder>>) -> CaptureObserver {
        CaptureObserver { ring }
    }
}

impl Observer<Http> for CaptureObserver {
    fn observe(&mut self, note: &EngineEvent<'_, Http>, view: &EngineView<'_, Http>) {
        let (mut ring, now) = (self.ring.borrow_mut(), view.now());
        if matches!(note, EngineEvent::HealthChanged { .. } | EngineEvent::AttemptEnded { .. }) {
            return;
        }
        if ring.is_due(now) {
            let host = |host: HostView| {
                let (name, server, dial) = (host.name.to_owned().into(), host.server, host.address);
                Item::Host { server, host: name, dial }
            };
            let calls = view.calls().map(|open| {
                let id = header_text(&open.request.headers, "x-call-id").into();
                Item::Open { call: open.call, id }
            });
            ring.open(now, view.settings(), view.balancer(), view.hosts().map(host).chain(calls));
        }
        match *note {
            EngineEvent::CallReceived { call, request, .. } => {
                let word = |name| header_text(&request.headers, name);
                let budget_ms = word("x-budget-ms").parse().unwrap_or(0);
                let [class, caller, id] =
                    ["x-call-class", "x-caller", "x-call-id"].map(|name| word(name).into());
                ring.put(now, Item::Asked { call, class, caller, id, budget_ms });
            }
            EngineEvent::ListReceived { list, servers } => {
                let hosts = servers.iter().copied().zip(list.hosts.iter().map(Cow::Borrowed)).collect();
                ring.put(now, Item::Line { seq: list.seq, whole: list.whole, hosts });
            }
            EngineEvent::PolicyInput(event) => ring.begin(now, event),
            EngineEvent::PolicyAction(action) => ring.put(now, Item::Did(Cow::Borrowed(action))),
            EngineEvent::PolicyStepEnded => ring.end(),
            EngineEvent::CallCompleted { call, reply } => {
                ring.put(now, Item::Answered { call, code: code(reply).as_u16() });
            }
            EngineEvent::HealthChanged { .. } | EngineEvent::AttemptEnded { .. } => {}
        }
    }
}
