//! What of a snapshot may be taken.

use crate::refusal::Refusal;
use crate::snapshot::{Header, Moment, Part, Snapshot};

/// How old what is taken may be, and how far clocks may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most age, in milliseconds.
    pub old_ms: u64,
    /// How far in the future something may have been written, in milliseconds: clocks are set by small steps.
    pub ahead_ms: u64,
}

/// Whose snapshot is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mine {
    /// The cluster of `[peers]`; empty without.
    pub cluster: String,
    /// The proxy's name.
    pub proxy: String,
}

/// A snapshot that is fresh: of this proxy, whole, and no older than allowed. Still it is old news: what it says was so
/// when it was written, and a copy that was put back within the bound of age looks the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recollection {
    header: Header,
    parts: Vec<Part>,
    age_ms: u64,
    bounds: Bounds,
}

/// How long ago a moment was, by whichever clock says more. Where a machine has not been started again meanwhile, its
/// uptime tells what a wall clock that was set back would hide.
fn age(then: Moment, now: Moment, ahead_ms: u64) -> Result<u64, Refusal> {
    let since = |then: u64, now: u64, slack: u64| match then.saturating_sub(now) {
        by_ms if by_ms > slack => Err(Refusal::Ahead { by_ms }),
        _ => Ok(now.saturating_sub(then)),
    };
    let wall = since(then.wall_ms, now.wall_ms, ahead_ms)?;
    match now.boot != 0 && now.boot == then.boot {
        true => Ok(wall.max(since(then.up_ms, now.up_ms, 0)?)),
        false => Ok(wall),
    }
}

/// Judges a snapshot that was read whole.
pub fn judge(snapshot: Snapshot, mine: &Mine, now: Moment, bounds: Bounds) -> Result<Recollection, Refusal> {
    let Snapshot { header, parts } = snapshot;
    if header.cluster != mine.cluster {
        return Err(Refusal::Cluster { found: header.cluster, own: mine.cluster.clone() });
    }
    if header.proxy != mine.proxy {
        return Err(Refusal::Proxy { found: header.proxy, own: mine.proxy.clone() });
    }
    let age_ms = age(header.written, now, bounds.ahead_ms)?;
    if age_ms > bounds.old_ms {
        return Err(Refusal::Old { age_ms, most_ms: bounds.old_ms });
    }
    Ok(Recollection { header, parts, age_ms, bounds })
}

impl Recollection {
    /// Who wrote it, and when.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// How long ago it was written, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.age_ms
    }

    /// Its parts as they were written.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Takes a part out, in the form that its owner reads, if it is fresh by its own age too. Of what is returned `age_ms`
    /// is the age now.
    pub fn take(&mut self, name: &str, version: u16) -> Result<Part, Refusal> {
        let place = self.parts.iter().position(|part| part.name == name);
        let mut part = place
            .map(|place| self.parts.swap_remove(place))
            .ok_or_else(|| Refusal::NoPart(name.to_owned()))?;
        if part.version != version {
            return Err(Refusal::PartForm { name: part.name, found: part.version, own: version });
        }
        part.age_ms = part.age_ms.saturating_add(self.age_ms);
        if part.age_ms > self.bounds.old_ms {
            return Err(Refusal::Old { age_ms: part.age_ms, most_ms: self.bounds.old_ms });
        }
        Ok(part)
    }
}
