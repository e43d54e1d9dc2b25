//! What may be out, and how long things may take.

use flaxhead_lease::Micros;

/// What may be out at once, as the operators say.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Hosts, in all.
    pub all: u32,
    /// Hosts of one zone.
    pub zone: u32,
    /// Hosts of one pod.
    pub pod: u32,
    /// Calls that a warm host of size 1 can have in hand, in thousandths; 0: not known, and the load is not looked at.
    pub host_calls: u32,
    /// What must be left beside the load, in thousandths of the load.
    pub margin: u32,
    /// The longest that a host may be out.
    pub longest: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { all: 1, zone: 1, pod: 1, host_calls: 0, margin: 300, longest: 4 * 3_600_000_000 }
    }
}

impl Limits {
    /// Whether any host could ever go.
    pub(crate) fn forbid(&self) -> Option<&'static str> {
        let zeros = [(self.all, "all"), (self.zone, "zone"), (self.pod, "pod")];
        zeros.into_iter().find(|(limit, _)| *limit == 0).map(|(_, name)| name)
    }
}

/// Settings of the turns, the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    /// How long a host may take to get free before its turn is given up.
    pub drain_most: Micros,
    /// How long a host that came back counts as out, if it does not show itself warm.
    pub back_most: Micros,
    /// What may be out.
    pub limits: Limits,
    /// Ended turns that are remembered.
    pub past_most: usize,
    /// Open turns at the most.
    pub open_most: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_most: 600_000_000,
            back_most: 120_000_000,
            limits: Limits::default(),
            past_most: 64,
            open_most: 256,
        }
    }
}
