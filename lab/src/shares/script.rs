//! What an experiment says of shares.

use crate::experiment::Tenant;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt::Write;

/// The group of the calls of no tenant, or of one that the settings do not have.
pub const OTHERS: &str = "others";

/// The proxies share connection capacity among tenants. The first eight keys and `caps` are those of the operators' file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shares {
    /// Proxies that vote.
    pub voters: Vec<usize>,
    /// Those that are to vote next.
    pub next_voters: Vec<usize>,
    /// A lease, in milliseconds.
    pub lease_ms: u64,
    /// How long a proxy that nobody answers waits before it uses its own part, in seconds.
    pub alone_s: u64,
    /// Proxies that own parts are counted for; 0: as many as there are.
    pub proxies_most: usize,
    /// Part of each cap that needs nobody.
    pub own_percent: u32,
    /// Calls that a warm node of size 1 can have in hand; 0: caps alone.
    pub host_calls: u32,
    /// What is left of what the nodes can carry.
    pub margin_percent: u32,
    /// Calls in hand over all nodes, by tenant: `name calls`.
    pub caps: Vec<String>,
    /// Proxies whose file says other caps; the lowest of each tenant is judged.
    pub caps_at: Vec<CapsAt>,
    /// From when on shares are judged, in seconds.
    pub settled_after_s: f64,
    /// Spans in which they are judged, in seconds; none: from `settled_after_s` to the end.
    pub windows: Vec<(f64, f64)>,
    /// How long a tenant that has work waiting may get nothing, in seconds.
    pub starved_s: f64,
    /// The proxies are told nothing of it, and judged all the same: to be compared with.
    pub off: bool,
}

/// Caps in the file of one proxy alone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapsAt {
    /// Which.
    pub proxy: usize,
    /// In place of those of all.
    pub caps: Vec<String>,
}

impl Default for Shares {
    fn default() -> Self {
        Shares {
            voters: vec![0, 1, 2],
            next_voters: Vec::new(),
            lease_ms: 1_000,
            alone_s: 3,
            proxies_most: 0,
            own_percent: 25,
            host_calls: 0,
            margin_percent: 10,
            caps: Vec::new(),
            caps_at: Vec::new(),
            settled_after_s: 5.0,
            windows: Vec::new(),
            starved_s: 5.0,
            off: false,
        }
    }
}

/// Why shares cannot be played.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// Voters that cannot be.
    #[error("voters: an odd number, up to 7, of proxies 0 to {last}")]
    Voters {
        /// The last proxy.
        last: usize,
    },
    /// A cap that is none.
    #[error("{0:?} is no cap: a tenant's name, a blank and calls in hand, such as \"a 40\"")]
    Cap(String),
    /// A tenant that the settings do not have.
    #[error("there is no tenant {0} in the settings: name one of [[tenant]], or {OTHERS:?}")]
    NoTenant(String),
    /// A tenant twice.
    #[error("{0} has two caps: one is enough")]
    Twice(String),
    /// Parts that cannot be.
    #[error("own_percent: 1 to 100; margin_percent: 0 to 90")]
    Percent,
    /// A proxy that is not.
    #[error("caps_at: there is no proxy {0}")]
    NoProxy(usize),
    /// Times that cannot be.
    #[error("windows, settled_after_s and starved_s are times within the run, in seconds")]
    Times,
}

/// A tenant and its calls in hand.
pub type Cap = (String, u32);

fn caps(lines: &[String], tenants: &[Tenant]) -> Result<Vec<Cap>, Unfit> {
    let mut seen = BTreeSet::new();
    let cap = |line: &String| {
        let bad = || Unfit::Cap(line.clone());
        let (name, calls) = line.trim().rsplit_once(char::is_whitespace).ok_or_else(bad)?;
        let (name, calls) = (name.trim().to_owned(), calls.parse().map_err(|_| bad())?);
        if name != OTHERS && !tenants.iter().any(|t| t.listed && t.name == name) {
            return Err(Unfit::NoTenant(name));
        }
        if !seen.insert(name.clone()) {
            return Err(Unfit::Twice(name));
        }
        Ok((name, calls))
    };
    lines.iter().map(cap).collect()
}

impl Shares {
    /// What is wrong with it for so many proxies, these tenants, and a run of so many seconds.
    pub fn check(&self, proxies: usize, tenants: &[Tenant], seconds: f64) -> Result<(), Unfit> {
        let last = proxies.saturating_sub(1);
        let odd = self.voters.len() % 2 == 1 && self.voters.len() <= 7;
        if !odd || self.voters.iter().chain(&self.next_voters).any(|&voter| voter > last) {
            return Err(Unfit::Voters { last });
        }
        if !(1..=100).contains(&self.own_percent) || self.margin_percent > 90 {
            return Err(Unfit::Percent);
        }
        caps(&self.caps, tenants)?;
        for at in &self.caps_at {
            if at.proxy > last {
                return Err(Unfit::NoProxy(at.proxy));
            }
            caps(&at.caps, tenants)?;
        }
        let spans = self.windows(seconds);
        let good = spans.iter().all(|&(from, to)| from >= 0.0 && to > from && to <= seconds);
        if !good || self.starved_s <= 0.0 || !self.starved_s.is_finite() {
            return Err(Unfit::Times);
        }
        Ok(())
    }

    /// The spans in which shares are judged.
    pub fn windows(&self, seconds: f64) -> Vec<(f64, f64)> {
        match self.windows.is_empty() {
            true if self.settled_after_s < seconds => vec![(self.settled_after_s, seconds)],
            true => Vec::new(),
            false => self.windows.clone(),
        }
    }

    /// The caps that hold: of two that differ the lower.
    pub fn lowest_caps(&self, tenants: &[Tenant]) -> Result<Vec<Cap>, Unfit> {
        let mut lowest = caps(&self.caps, tenants)?;
        for at in &self.caps_at {
            for (name, calls) in caps(&at.caps, tenants)? {
                match lowest.iter_mut().find(|(of, _)| *of == name) {
                    Some((_, low)) => *low = calls.min(*low),
                    None => lowest.push((name, calls)),
                }
            }
        }
        Ok(lowest)
    }

    /// The section of the operators' file of one proxy of so many.
    pub fn section(&self, number: usize, proxies: usize) -> String {
        if self.off {
            return String::new();
        }
        let quoted = |words: &mut dyn Iterator<Item = String>| {
            words.map(|word| format!("{word:?}")).collect::<Vec<_>>().join(", ")
        };
        let names = |of: &[usize]| quoted(&mut of.iter().map(|place| format!("n{place}")));
        let proxies_most = if self.proxies_most == 0 { proxies } else { self.proxies_most };
        let other = self.caps_at.iter().find(|at| at.proxy == number);
        let caps = other.map_or(&self.caps, |at| &at.caps);
        let Shares { lease_ms, alone_s, own_percent, host_calls, margin_percent, .. } = self;
        let mut text = format!("[shares]\nvoters = [{}]\n", names(&self.voters));
        if !self.next_voters.is_empty() {
            // A String takes all that is written.
            let _ = writeln!(text, "next_voters = [{}]", names(&self.next_voters));
        }
        text + &format!(
            "lease_ms = {lease_ms}\nalone_s = {alone_s}\nproxies_most = {proxies_most}\nown_percent = {own_percent}\n\
             host_calls = {host_calls}\nmargin_percent = {margin_percent}\ncaps = [{}]\n",
            quoted(&mut caps.iter().cloned())
        )
    }
}
