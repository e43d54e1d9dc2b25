//! The tenants, and what the operators' file says of them.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// The name under which the file speaks of calls of no tenant, or of an unknown one.
pub const OTHERS: &str = "others";
/// Tenants at the most, and bytes of a name: what a word can hold.
const TENANTS_MOST: usize = 256;
const NAME_MOST: usize = 64;
/// Portions are counted in parts of this many.
const PARTS: f64 = 1_000_000.0;

/// What the operators' file says, before it is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Processes that own parts are counted for.
    pub proxies_most: u32,
    /// Part of each cap that needs nobody, in percent.
    pub own_percent: u32,
    /// Calls that a warm host of size 1 can have in hand; 0: no fair shares.
    pub host_calls: u32,
    /// What is left of that, in percent.
    pub margin_percent: u32,
    /// Each a tenant's name and its calls over the fleet, as in `banca-trinacria 40`.
    pub caps: Vec<String>,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { proxies_most: 8, own_percent: 25, host_calls: 0, margin_percent: 10, caps: Vec::new() }
    }
}

/// Why terms cannot be gone by.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BookError {
    /// No process at all.
    #[error("proxies_most is 0; give the most client proxies that run at a time, those of a roll included")]
    NoProxies,
    /// A part that cannot be.
    #[error("own_percent is {0}; give 1 to 100")]
    OwnPercent(u32),
    /// Nothing would be left.
    #[error("margin_percent is {0}; give 0 to 99")]
    Margin(u32),
    /// Not a name and a number.
    #[error("caps has {0:?}; give a tenant's name and a number of calls, as in \"{OTHERS} 10\"")]
    NotACap(String),
    /// The settings have no such tenant.
    #[error("caps names {tenant:?}, which the settings do not have; they have {known}, and \"{OTHERS}\" is the rest")]
    Unknown {
        /// The name.
        tenant: String,
        /// Those that there are.
        known: String,
    },
    /// Two caps.
    #[error("caps names {0:?} twice; leave one of them out")]
    Twice(String),
    /// Two tenants.
    #[error(
        "the settings name the tenant {0:?} twice or use the name of the rest; caps cannot tell them apart"
    )]
    Ambiguous(String),
    /// A word could not hold them.
    #[error("the settings have more than {TENANTS_MOST} tenants, or a name over {NAME_MOST} bytes; leave [shares] out")]
    TooMany,
    /// Some process would have nothing.
    #[error("the cap of {tenant:?} is {cap}, but each of {proxies} proxies needs one call; raise it, or lower proxies_most")]
    UnderLeast {
        /// Whose.
        tenant: String,
        /// The cap.
        cap: u32,
        /// The processes.
        proxies: u32,
    },
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its weight beside the others, in millionths; at least 1.
    pub weight: u64,
    /// Calls in hand over the fleet; `None`: as many as there are.
    pub cap: Option<u32>,
    /// The part of the cap that each process has by itself.
    pub own: u32,
}

/// The checked terms.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Book {
    /// In the order of the settings; the last is the rest. There is at least that.
    pub tenants: Vec<Tenant>,
    /// See [`Terms::proxies_most`].
    pub proxies_most: u32,
    /// See [`Terms::host_calls`].
    pub host_calls: u32,
    /// See [`Terms::margin_percent`].
    pub margin_percent: u32,
    /// Tells apart books under which something else is allowed.
    pub digest: u64,
}

impl Book {
    /// Checks the terms against the tenants of the settings, each with its portion.
    pub fn new<'a>(
        terms: &Terms,
        tenants: impl IntoIterator<Item = (&'a str, f64)>,
    ) -> Result<Book, BookError> {
        match terms {
            Terms { proxies_most: 0, .. } => return Err(BookError::NoProxies),
            Terms { own_percent: own @ (0 | 101..), .. } => return Err(BookError::OwnPercent(*own)),
            Terms { margin_percent: margin @ 100.., .. } => return Err(BookError::Margin(*margin)),
            _ => {}
        }
        let mut named: Vec<Tenant> = Vec::new();
        let mut whole = 0.0;
        for (name, portion) in tenants {
            if name == OTHERS || named.iter().any(|tenant| tenant.name == name) {
                return Err(BookError::Ambiguous(name.to_owned()));
            }
            if named.len() + 1 >= TENANTS_MOST || name.len() > NAME_MOST {
                return Err(BookError::TooMany);
            }
            let portion = if portion.is_finite() { portion.clamp(0.0, 1e6) } else { 0.0 };
            whole += portion;
            named.push(Tenant { name: name.to_owned(), weight: parts(portion), cap: None, own: 0 });
        }
        // The rest weighs what the portions leave, and no less than the least tenant.
        let least = named.iter().map(|tenant| tenant.weight).min().unwrap_or(1);
        let rest = parts(1.0 - whole).max(least);
        named.push(Tenant { name: OTHERS.to_owned(), weight: rest, cap: None, own: 0 });
        let mut book = Book {
            tenants: named,
            proxies_most: terms.proxies_most,
            host_calls: terms.host_calls,
            margin_percent: terms.margin_percent,
            digest: 0,
        };
        for line in &terms.caps {
            book.cap(line, terms.own_percent)?;
        }
        let mut hasher = SipHasher13::new();
        (&book.tenants, book.proxies_most, book.host_calls, book.margin_percent).hash(&mut hasher);
        book.digest = hasher.finish();
        Ok(book)
    }

    fn cap(&mut self, line: &str, own_percent: u32) -> Result<(), BookError> {
        let parsed = line.trim().rsplit_once(char::is_whitespace);
        let parsed = parsed.and_then(|(name, cap)| Some((name.trim(), cap.parse::<u32>().ok()?)));
        let (name, cap) = parsed.ok_or_else(|| BookError::NotACap(line.to_owned()))?;
        let proxies = self.proxies_most;
        let Some(tenant) = self.tenants.iter_mut().find(|tenant| tenant.name == name) else {
            let known: Vec<&str> = self.tenants.iter().map(|tenant| tenant.name.as_str()).collect();
            return Err(BookError::Unknown { tenant: name.to_owned(), known: known.join(", ") });
        };
        if tenant.cap.is_some() {
            return Err(BookError::Twice(name.to_owned()));
        }
        if cap < proxies {
            return Err(BookError::UnderLeast { tenant: name.to_owned(), cap, proxies });
        }
        let part = u64::from(cap) * u64::from(own_percent) / 100 / u64::from(proxies);
        (tenant.cap, tenant.own) = (Some(cap), part.max(1) as u32);
        Ok(())
    }

    /// What is left of a cap beside all own parts; `None`: it has no cap.
    pub fn pool(&self, tenant: usize) -> Option<u32> {
        let tenant = self.tenants.get(tenant)?;
        Some(tenant.cap?.saturating_sub(tenant.own.saturating_mul(self.proxies_most)))
    }

    /// Which tenant a name means; the rest where it is none of them.
    pub fn index(&self, name: Option<&str>) -> usize {
        let last = self.tenants.len().saturating_sub(1);
        name.and_then(|name| self.tenants.iter().position(|tenant| tenant.name == name)).unwrap_or(last)
    }
}

fn parts(portion: f64) -> u64 {
    ((portion * PARTS).round().max(0.0) as u64).max(1)
}

#[cfg(test)]
mod tests;
