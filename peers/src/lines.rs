//! Lines of changes in the log, at a bounded rate: when hundreds go at once, a few lines and a count say it.

use std::time::Duration;
use tokio::time::Instant;

/// Lines in a span, and the span.
const LINES: u32 = 20;
const SPAN: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
pub(crate) struct Lines {
    began: Option<Instant>,
    written: u32,
    left_out: u32,
}

impl Lines {
    pub(crate) fn write(&mut self, now: Instant, line: impl FnOnce() -> String) {
        if self.began.is_none_or(|began| now.duration_since(began) >= SPAN) {
            if self.left_out > 0 {
                tracing::info!("peers: {} further changes were not written", self.left_out);
            }
            *self = Lines { began: Some(now), ..Lines::default() };
        }
        if self.written < LINES {
            self.written += 1;
            tracing::info!("peers: {}", line());
        } else {
            self.left_out += 1;
        }
    }
}
