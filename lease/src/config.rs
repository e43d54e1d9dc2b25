//! How the protocol is paced.

use flaxhead_membership::Micros;

/// Clocks of two machines run apart by less than one part in this many.
const DRIFT: Micros = 64;

/// Settings of one process; the spans must be the same at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// How long a lease lasts, a holder's as well as each proxy's leave. It bounds the pause in which nobody settles
    /// anything; pauses of a process of half that length are borne.
    pub lease: Micros,
    /// The longest that a request may take: what a proxy that is no longer heard may still have in hand.
    pub longest_call: Micros,
    /// After all voters have forgotten: how long the holder counts what is settled as not known, unless its application
    /// says that all is known.
    pub cold_wait: Micros,
    /// How long a restarted proxy waits to be let in where nobody answers that knows what is settled; then it serves by
    /// its own judgement.
    pub alone_after: Micros,
    /// How long it waits, from its start, where it is known that nobody knows: in that time operators may say it.
    pub known_wait: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            lease: 6_000_000,
            longest_call: 10_000_000,
            cold_wait: 3_600_000_000,
            alone_after: 15_000_000,
            known_wait: 0,
        }
    }
}

impl Config {
    /// A span as the other side's clock may see it at the longest.
    pub fn longest(span: Micros) -> Micros {
        span + span / DRIFT + 1
    }

    /// How long a restarted voter is silent: longer than any lease that it may have granted.
    pub(crate) fn silence(&self) -> Micros {
        Config::longest(Config::longest(self.lease))
    }

    /// When a slate that was not confirmed is sent again: what is lost costs a part of a renewal, not all of it.
    pub(crate) fn tell_again(&self) -> Micros {
        (self.renew_every() / 6).max(1)
    }

    /// How often leases and leaves are renewed: three tries fall into each.
    pub(crate) fn renew_every(&self) -> Micros {
        (self.lease / 4).max(1)
    }
}
