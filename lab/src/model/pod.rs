//! What the nodes of one pod know together: the keys they have seen, for the window within which repeats are dropped.

use super::node::Micros;
use std::collections::HashMap;

/// Keys of one pod, with when each was first run.
#[derive(Debug, Default)]
pub struct Pod {
    seen: HashMap<String, Micros>,
}

impl Pod {
    /// Whether a request with this key is a repeat now. One that is not starts a window.
    pub fn is_repeat(&mut self, key: &str, now: Micros, window: Micros) -> bool {
        self.seen.retain(|_, at| now < at.saturating_add(window));
        if self.seen.contains_key(key) {
            return true;
        }
        self.seen.insert(key.to_owned(), now);
        false
    }

    /// What was seen with this key never ran.
    pub fn forget(&mut self, key: &str) {
        self.seen.remove(key);
    }
}

#[cfg(test)]
mod tests;
