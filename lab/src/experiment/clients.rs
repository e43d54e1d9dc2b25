//! What clients ask for: classes, tenants, and how long they wait.

use crate::audit::Repeat;
use serde::Deserialize;

/// What clients do.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often each request is tried again by its client at the most.
    pub retries: u32,
    /// How long a client waits before that, in milliseconds; a proxy's word on it goes before.
    pub retry_wait_ms: u64,
    /// A try is given up after this share of the class's time at the least; up to all of it.
    pub patience: f64,
    /// Threads that send.
    pub threads: usize,
    /// Requests that are out at once at the most, on as many connections; one that must wait for another makes the
    /// sender late.
    pub connections: usize,
    /// The 99th percentile of the sender's own lateness past which a run is late, in milliseconds: it is void where that
    /// may have changed the verdict.
    pub late_ms: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 1, retry_wait_ms: 200, patience: 0.7, threads: 1, connections: 384, late_ms: 5.0 }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests; shares are taken relative to their sum.
    pub share: f64,
    /// Mean work, in milliseconds of a core of speed 1.
    pub work_ms: f64,
    /// How the work is spread: the deviation of its logarithm.
    #[serde(default)]
    pub work_spread: f64,
    /// Wanted within, in milliseconds.
    pub aim_ms: u64,
    /// Given up after, in milliseconds.
    pub gives_up_ms: u64,
    /// Worth of an answer in time; one that comes later is worth half.
    pub worth: f64,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Bytes of a request's body, and of its answer's.
    #[serde(default = "some_bytes")]
    pub body: usize,
}

fn some_bytes() -> usize {
    200
}

/// The classes of the payment fleet.
pub(super) fn payment_classes() -> Vec<Class> {
    let class = |name: &str, share, work_ms, aim_ms, gives_up_ms, worth, repeat| Class {
        name: name.to_owned(),
        share,
        work_ms,
        work_spread: 0.5,
        aim_ms,
        gives_up_ms,
        worth,
        repeat,
        body: some_bytes(),
    };
    vec![
        class("balance", 0.55, 70.0, 600, 2_000, 1.0, Repeat::Free),
        class("payee-check", 0.22, 160.0, 2_000, 5_000, 2.0, Repeat::Free),
        class("standing-order", 0.13, 190.0, 2_000, 6_000, 5.0, Repeat::Keyed),
        class("send", 0.10, 135.0, 2_000, 6_000, 10.0, Repeat::Never),
    ]
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the requests, and of the settings' portions.
    pub share: f64,
    /// The proxies' settings have it; if not, its requests are of a tenant that they do not know.
    #[serde(default = "yes")]
    pub listed: bool,
}

fn yes() -> bool {
    true
}

pub(super) fn one_tenant() -> Vec<Tenant> {
    vec![
        Tenant { name: "banca-trinacria".into(), share: 0.76, listed: true },
        Tenant { name: "cassa-iblea".into(), share: 0.24, listed: true },
    ]
}
