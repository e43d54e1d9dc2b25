//! Which snapshots, and which parts of them, may be used.

use crate::rejection::Rejection;
use crate::snapshot::{ClockReading, Header, Part, Snapshot};

/// How old a snapshot may be, and how far clocks may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// Maximum age, in milliseconds.
    pub max_age_ms: u64,
    /// How far in the future a snapshot may have been written, in milliseconds: clocks are set by small steps.
    pub max_ahead_ms: u64,
}

/// The owner of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The cluster of `[peers]`; empty without.
    pub cluster: String,
    /// The proxy's name.
    pub proxy: String,
}

/// A snapshot that passed: of this proxy, intact, and no older than allowed. It may still be outdated: what it says was so
/// when it was written, and a copy that was put back within the maximum age looks the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredState {
    header: Header,
    parts: Vec<Part>,
    age_ms: u64,
    limits: AgeLimits,
}

/// How long ago a moment was, by whichever clock says more. Where the machine was not rebooted meanwhile, its uptime tells
/// what a wall clock that was set back would hide.
fn age(then: ClockReading, now: ClockReading, max_ahead_ms: u64) -> Result<u64, Rejection> {
    let wall = elapsed(then.wall_ms, now.wall_ms, max_ahead_ms)?;
    let is_same_boot = now.boot != 0 && now.boot == then.boot;
    if is_same_boot {
        Ok(wall.max(elapsed(then.up_ms, now.up_ms, 0)?))
    } else {
        Ok(wall)
    }
}

fn elapsed(then_ms: u64, now_ms: u64, max_ahead_ms: u64) -> Result<u64, Rejection> {
    match then_ms.saturating_sub(now_ms) {
        by_ms if by_ms > max_ahead_ms => Err(Rejection::FromTheFuture { by_ms }),
        _ => Ok(now_ms.saturating_sub(then_ms)),
    }
}

/// Validates a snapshot that was decoded.
///
/// # Errors
///
/// Where it is another's, or not of an age that is allowed.
pub fn validate(
    snapshot: Snapshot,
    owner: &Identity,
    now: ClockReading,
    limits: AgeLimits,
) -> Result<RecoveredState, Rejection> {
    let Snapshot { header, parts } = snapshot;
    if header.cluster != owner.cluster {
        return Err(Rejection::Cluster { found: header.cluster, own: owner.cluster.clone() });
    }
    if header.proxy != owner.proxy {
        return Err(Rejection::Proxy { found: header.proxy, own: owner.proxy.clone() });
    }
    let age_ms = age(header.written, now, limits.max_ahead_ms)?;
    if age_ms > limits.max_age_ms {
        return Err(Rejection::TooOld { age_ms, max_ms: limits.max_age_ms });
    }
    Ok(RecoveredState { header, parts, age_ms, limits })
}

impl RecoveredState {
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

    /// Takes a part out, in the format version that its owner reads. The `age_ms` of what is returned is its age now.
    ///
    /// # Errors
    ///
    /// Where there is no such part, or it is of another version, or too old by its own age.
    pub fn take(&mut self, name: &str, version: u16) -> Result<Part, Rejection> {
        let place = self.parts.iter().position(|part| part.name == name);
        let place = place.ok_or_else(|| Rejection::MissingPart(name.to_owned()))?;
        let mut part = self.parts.swap_remove(place);
        if part.version != version {
            return Err(Rejection::PartVersion { name: part.name, found: part.version, own: version });
        }
        part.age_ms = part.age_ms.saturating_add(self.age_ms);
        if part.age_ms > self.limits.max_age_ms {
            return Err(Rejection::TooOld { age_ms: part.age_ms, max_ms: self.limits.max_age_ms });
        }
        Ok(part)
    }
}
