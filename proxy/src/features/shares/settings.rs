//! What `[shares]` says, and whether it fits the platform's settings.

use super::super::peers::{list, voters};
use super::super::sections::{Problem, Section};
use crate::config::Config;
use flaxhead_lease::{Micros, Voters};
use flaxhead_quota::{Book, BookError, Terms, OTHERS};
use std::collections::BTreeSet;
use std::path::PathBuf;

/// What `[shares]` says.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who votes on who grants.
    pub voters: Voters,
    /// How long a lease lasts.
    pub lease: Micros,
    /// How long a process that starts waits for a seat, where nobody answers.
    pub alone: Micros,
    /// The terms, checked but for the names of tenants.
    pub terms: Terms,
    /// Where the caps stand.
    pub file: PathBuf,
    caps_line: u32,
}

/// A section that does not fit the platform's settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}:{line}: [shares] {reason}", file.display())]
pub struct Misfit {
    file: PathBuf,
    line: u32,
    #[source]
    reason: BookError,
}

impl Settings {
    /// Takes them from the section.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let voters = voters(section)?;
        let defaults = Terms::default();
        let mut number = |key: &str, (least, most): (u32, u32), default: u32| {
            let good = |value: &u32| match (least..=most).contains(value) {
                true => Ok(()),
                false => Err(format!("{least} to {most}")),
            };
            Ok::<_, Problem>(section.take_if(key, good)?.unwrap_or(default))
        };
        let lease = Micros::from(number("lease_ms", (500, 60_000), 6_000)?) * 1_000;
        let alone = Micros::from(number("alone_s", (1, 3_600), 15)?) * 1_000_000;
        let proxies_most = number("proxies_most", (1, 10_000), defaults.proxies_most)?;
        let own_percent = number("own_percent", (1, 100), defaults.own_percent)?;
        let host_calls = number("host_calls", (0, 100_000), defaults.host_calls)?;
        let margin_percent = number("margin_percent", (0, 99), defaults.margin_percent)?;
        let caps_line = section.line_of("caps");
        let caps: Vec<String> = list::<String>(section, "caps")?;
        let terms = Terms { proxies_most, own_percent, host_calls, margin_percent, caps };
        // Which tenants there are the platform's settings say, later; all else is known now.
        let tenant = |cap: &String| Some(cap.trim().rsplit_once(char::is_whitespace)?.0.trim().to_owned());
        let named: BTreeSet<String> =
            terms.caps.iter().filter_map(tenant).filter(|name| name != OTHERS).collect();
        Book::new(&terms, named.iter().map(|name| (name.as_str(), 0.0)))
            .map_err(|reason| Problem::new(caps_line, format!("[shares] {reason}")))?;
        Ok(Settings { voters, lease, alone, terms, file: PathBuf::new(), caps_line })
    }

    /// The terms for the tenants of a configuration.
    pub fn book(&self, config: &Config) -> Result<Book, Misfit> {
        let shares = config.settings.tenants.iter().map(|tenant| tenant.share);
        let tenants = config.tenants.iter().map(String::as_str).zip(shares);
        let misfit = |reason| Misfit { file: self.file.clone(), line: self.caps_line, reason };
        Book::new(&self.terms, tenants).map_err(misfit)
    }
}

#[cfg(test)]
mod tests;
