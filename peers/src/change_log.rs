//! Log lines of membership changes, at a bounded rate: when hundreds of members go at once, a few lines and a count say it.

use flaxhead_membership::{Cause, Change};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of lines in each span.
const MAX_LINES: u32 = 20;
/// How long a span lasts.
const SPAN: Duration = Duration::from_secs(10);

/// Writes changes to the log.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    span_began: Option<Instant>,
    written: u32,
    omitted: u32,
}

impl ChangeLog {
    pub(crate) fn write(&mut self, now: Instant, change: &Change) {
        if self.span_began.is_none_or(|began| now.duration_since(began) >= SPAN) {
            if self.omitted > 0 {
                tracing::info!("peers: {} further changes were not written", self.omitted);
            }
            *self = ChangeLog { span_began: Some(now), ..ChangeLog::default() };
        }
        if self.written < MAX_LINES {
            self.written += 1;
            tracing::info!("peers: {}", line(change));
        } else {
            self.omitted += 1;
        }
    }
}

fn line(change: &Change) -> String {
    match change {
        Change::Joined(name) => format!("{name} joined"),
        Change::Restarted(name) => format!("{name} was started anew"),
        Change::Suspected { name, by, cause } => {
            format!("{name} is suspected by {by}: {}", explanation(*cause))
        }
        Change::Recovered(name) => format!("{name} is back"),
        Change::Died { name, by, cause } => {
            format!("{name} is gone, by the word of {by}: {}", explanation(*cause))
        }
        Change::Left(name) => format!("{name} left"),
        Change::CutOff(None) => "this process is no longer cut off".to_owned(),
        Change::CutOff(Some(how)) => format!("this process is cut off: {how:?}"),
        Change::Refuted => "this process was suspected and said that it runs".to_owned(),
        Change::NameClaimed => {
            "another process that runs claims this name; it is the younger and must go".to_owned()
        }
        Change::Displaced => {
            "another process that runs has this name and is the older: this one is no member".to_owned()
        }
    }
}

fn explanation(cause: Cause) -> &'static str {
    match cause {
        Cause::Silent => "nothing is heard of it",
        Cause::Stalled => "its machine takes connections and it does not answer",
        Cause::Refused => "nothing listens there",
    }
}
