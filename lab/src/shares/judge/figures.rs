//! What came of the shares.

use crate::model::node::Micros;
use serde::{Deserialize, Serialize};

/// What came of the shares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShareFigures {
    /// By tenant, in the order of the file; last the calls of tenants that the settings do not have, where there are.
    pub tenants: Vec<TenantFigures>,
    /// The spans in which shares are judged.
    pub windows: Vec<Window>,
}

/// What came of one tenant's.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantFigures {
    /// Its name.
    pub name: String,
    /// Its cap, in calls in hand over all nodes.
    pub cap: Option<u32>,
    /// Calls in hand at the most, as nodes wrote them down.
    pub most: u32,
    /// The same of those that were in hand beyond doubt.
    pub most_surely: u32,
    /// Stretches beyond its cap, in microseconds, and the most in each; the first few.
    pub over: Vec<(Micros, Micros, u32)>,
    /// How many there were.
    pub over_count: usize,
    /// The longest time in which it had work waiting and nothing in hand, in seconds, and since when.
    pub longest_without_s: f64,
    /// See `longest_without_s`, in seconds of the run.
    pub without_from_s: f64,
    /// Requests.
    pub asked: usize,
    /// Those that a node served.
    pub got: usize,
    /// How long a call was in hand, on the mean, in milliseconds.
    pub held_ms: f64,
    /// Each second.
    pub seconds: Vec<TenantSecond>,
}

/// A second of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantSecond {
    /// Requests that were to be sent in it.
    pub asked: usize,
    /// Requests that a node answered in it.
    pub got: usize,
    /// What exact weighted max-min gives it of all that was answered.
    pub fair: f64,
    /// Calls in hand, on the mean.
    pub in_hand: f64,
}

/// A span in which shares are judged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// From when, in seconds.
    pub from_s: f64,
    /// To when.
    pub to_s: f64,
    /// Work that was done, over what was asked or could be done, whichever is less.
    pub used: f64,
    /// By tenant, of those that have a portion.
    pub tenants: Vec<Part>,
}

/// What a tenant got of a window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Requests.
    pub asked: usize,
    /// Requests that a node answered.
    pub got: usize,
    /// Requests that exact weighted max-min would give it of all that were answered. Not judged: what is shared is calls
    /// in hand, and how long one takes depends on the host that it goes to.
    pub fair: f64,
    /// Calls in hand that it was due on the mean, by exact weighted max-min of all that were in hand: no more than it
    /// asked for, by Little's law.
    pub due: f64,
    /// What it had of that in the middle one of the window's seconds, in the order of what it had: a second in which the
    /// machine let a proxy stand still is not taken for its share. 1 for one that is due all that it asks.
    pub usual: f64,
    /// Of it, how much may be missing beside the share: what is asked in one second and answered in the next.
    pub loose: f64,
    /// Calls in hand, on the mean.
    pub in_hand: f64,
    /// Of a tenant with a cap: calls in hand that it asked for, its cap at the most; else 0.
    pub wanted: f64,
}
