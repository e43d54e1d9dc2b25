//! What the operators do in an experiment.

use serde::Deserialize;

/// The proxies settle turns among themselves.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Work {
    /// Proxies that vote.
    pub voters: Vec<usize>,
    /// Hosts that may be out at once: in all, of a zone and of a pod.
    pub hosts: u32,
    /// See `hosts`.
    pub hosts_zone: u32,
    /// See `hosts`.
    pub hosts_pod: u32,
    /// Calls that a node of size 1 can have in hand; 0: the load is not looked at.
    pub host_calls: u32,
    /// A lease, in milliseconds.
    pub lease_ms: u64,
    /// How long a host may take to get free, in seconds.
    pub drain_s: u64,
    /// How long nothing is settled after all have forgotten, in seconds.
    pub forgotten_s: u64,
    /// How long a restarted proxy sends nothing where nobody knows what is out, in seconds.
    pub alone_s: u64,
    /// How long it waits for operators to say what is out, where nobody knows, in seconds.
    pub known_s: u64,
    /// The operators say at the beginning, and whenever all have forgotten, what is out, and that it is all.
    pub known: bool,
    /// How long after the load the last turn may end, in seconds.
    pub finish_within_s: f64,
    /// Hosts that are to be worked at.
    #[serde(rename = "turn")]
    pub turns: Vec<Turn>,
    /// Faults that come when a turn has reached a stage.
    #[serde(rename = "strike")]
    pub strikes: Vec<Strike>,
}

impl Default for Work {
    fn default() -> Self {
        Work {
            voters: vec![0, 1, 2],
            hosts: 1,
            hosts_zone: 1,
            hosts_pod: 1,
            host_calls: 0,
            lease_ms: 1_000,
            drain_s: 60,
            forgotten_s: 3_600,
            alone_s: 3,
            known_s: 0,
            known: true,
            finish_within_s: 60.0,
            turns: Vec::new(),
            strikes: Vec::new(),
        }
    }
}

/// A host that is to be worked at.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Turn {
    /// When that is asked for, in seconds.
    pub at: f64,
    /// Which node.
    pub node: usize,
    /// How long the work takes, in seconds.
    #[serde(default = "second")]
    pub takes: f64,
    /// The proxy that is asked first.
    #[serde(default)]
    pub through: usize,
    /// It must not be free before this time, in seconds: something keeps it.
    #[serde(default)]
    pub not_free_before: f64,
    /// It is asked for once a strike has come, and not before.
    #[serde(default)]
    pub after_strike: bool,
    /// It must never be free, and end so.
    #[serde(default)]
    pub never_free: bool,
}

fn second() -> f64 {
    1.0
}

/// A fault that comes when a turn has reached a stage.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Strike {
    /// Place of the turn.
    pub turn: usize,
    /// `asked`, `settled`, `draining`, `out`, `free` or `back`.
    pub stage: String,
    /// What.
    pub what: Blow,
    /// For how long, in seconds.
    #[serde(rename = "for")]
    pub lasts: f64,
    /// Whom, beside or in place of the holder.
    #[serde(default)]
    pub proxies: Vec<usize>,
    /// The proxy that hands out turns is hit.
    #[serde(default = "yes")]
    pub holder: bool,
}

fn yes() -> bool {
    true
}

/// What a strike does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Blow {
    /// The process is killed, and started again after the time.
    Kill,
    /// The process is stopped, and goes on after the time.
    Freeze,
    /// Nobody hears it, and it hears nobody.
    Apart,
    /// It is heard, and hears nobody.
    Deaf,
    /// It hears, and nobody hears it.
    Mute,
}

pub(super) const STAGES: [&str; 6] = ["asked", "settled", "draining", "out", "free", "back"];

impl Work {
    /// What is wrong with it for so many proxies and nodes.
    pub fn check(&self, proxies: usize, nodes: usize) -> Result<(), String> {
        let odd = self.voters.len() % 2 == 1 && self.voters.len() <= 7;
        if !odd || self.voters.iter().any(|&voter| voter >= proxies) {
            return Err(format!("voters: an odd number, up to 7, of proxies 0 to {}", proxies - 1));
        }
        for turn in &self.turns {
            if turn.node >= nodes || turn.through >= proxies || !(0.0..=3_600.0).contains(&turn.at) {
                return Err(format!("a turn: node 0 to {}, proxy 0 to {}", nodes - 1, proxies - 1));
            }
        }
        for strike in &self.strikes {
            let hit = strike.proxies.iter().all(|&proxy| proxy < proxies);
            if strike.turn >= self.turns.len() || !STAGES.contains(&strike.stage.as_str()) || !hit {
                return Err(format!(
                    "a strike: one of the turns, a stage of {STAGES:?}, proxies that there are"
                ));
            }
        }
        Ok(())
    }

    /// The section of the operators' file of each proxy.
    pub fn section(&self) -> String {
        let voters: Vec<String> = self.voters.iter().map(|voter| format!("\"n{voter}\"")).collect();
        let Work { hosts, hosts_zone, hosts_pod, host_calls, lease_ms, drain_s, .. } = self;
        let Work { forgotten_s, alone_s, known_s, .. } = self;
        format!(
            "[work]\nvoters = [{}]\nhosts = {hosts}\nhosts_zone = {hosts_zone}\nhosts_pod = {hosts_pod}\n\
             host_calls = {host_calls}\nlease_ms = {lease_ms}\ndrain_s = {drain_s}\nforgotten_s = {forgotten_s}\n\
             back_s = 1\nalone_s = {alone_s}\nknown_s = {known_s}\n",
            voters.join(", ")
        )
    }
}
