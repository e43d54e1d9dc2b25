//! Whom the slate is told to, and when again.

use super::heard::Heard;
use super::state::Hold;
use crate::config::Config;
use crate::terms::Terms;
use flaxhead_membership::{Micros, Name};

impl<T: Terms> Hold<T> {
    /// Whom the slate is told to now: all that may have leave, or those that have lately been heard and do not go by it
    /// yet, where it was sent to them long enough ago.
    pub(crate) fn tell_now(&mut self, now: Micros, config: &Config, all: bool) -> Vec<Name> {
        let current = self.told.version.clone();
        let due = |h: &Heard<T>| h.version != current && now >= h.told + config.tell_again();
        let mut told = Vec::new();
        for (process, heard) in self.heard.iter_mut().filter(|(_, heard)| all || due(heard)) {
            heard.told = now;
            if all || heard.lately(now, config) {
                told.push(process.name.clone());
            }
        }
        told
    }

    /// When somebody is told again, if nothing comes meanwhile.
    pub(crate) fn next_telling(&self, config: &Config) -> Micros {
        let behind = |h: &&Heard<T>| h.version != self.told.version && h.at.is_some();
        let heard = self.heard.values().filter(behind);
        // Those that are no longer heard are told when they are heard again.
        let due = heard.filter(|h| h.lately(h.told, config)).map(|h| h.told + config.tell_again());
        due.min().unwrap_or(Micros::MAX)
    }
}
