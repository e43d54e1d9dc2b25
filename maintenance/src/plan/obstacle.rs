//! Why a turn waits.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a turn is not settled now.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Obstacle {
    /// Not before its time.
    Early,
    /// As many are out as may be, in all.
    All(u32),
    /// In its zone.
    Zone(String),
    /// In its pod.
    Pod(u32),
    /// What is left would not bear the load: what is left and what is wanted, in calls in hand.
    Load {
        /// Left.
        left: u64,
        /// Wanted.
        wanted: u64,
    },
    /// A zone is lost.
    LostZone(String),
    /// A member is doubted, or silent and not yet accounted for.
    Unsettled(String),
    /// The proxies have forgotten what is out.
    Forgotten,
    /// The list does not have it.
    Unlisted,
    /// Others are ahead of it.
    Behind(u64),
}

impl fmt::Display for Obstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Obstacle::Early => write!(f, "its time has not come"),
            Obstacle::All(most) => write!(f, "{most} hosts may be out at once, and are"),
            Obstacle::Zone(zone) => write!(f, "as many hosts of zone {zone} are out as may be"),
            Obstacle::Pod(pod) => write!(f, "as many hosts of pod {pod} are out as may be"),
            Obstacle::Load { left, wanted } => {
                write!(f, "{left} calls could be borne without it, and {wanted} must be")
            }
            Obstacle::LostZone(zone) => write!(f, "zone {zone} is lost"),
            Obstacle::Unsettled(who) => write!(f, "the membership is not settled: {who}"),
            Obstacle::Forgotten => write!(f, "the proxies were restarted and do not know what is out"),
            Obstacle::Unlisted => write!(f, "discovery does not list it"),
            Obstacle::Behind(id) => write!(f, "turn {id} is ahead of it"),
        }
    }
}
