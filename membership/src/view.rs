//! What others are shown.

use crate::name::Name;
use crate::packet::Rejection;
use crate::table::{State, SuspicionReport};
use crate::{CutOff, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Which directions between this process and a member work, by this process's own ears; `None`: not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// What this process sends reaches it.
    pub to_it: Option<bool>,
    /// What it sends reaches this process.
    pub from_it: Option<bool>,
}

/// A member, as it is shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Where others reach it.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Whether it runs.
    pub state: State,
    /// How many processes have had its name, this one included.
    pub generation: u32,
    /// Its process, in hexadecimal digits.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// How much it has said of itself in this life.
    #[serde(rename = "incarnation")]
    pub sequence: u32,
    /// It finds itself cut off.
    pub cut_off: Option<CutOff>,
    /// Since when it has been in its state, in milliseconds before now.
    pub for_ms: u64,
    /// When it was last heard directly, in milliseconds before now.
    pub heard_ms: Option<u64>,
    /// Which ways work.
    pub reach: Reach,
    /// Whom an answer last came through, where the direct way failed.
    pub via: Option<String>,
    /// Who suspects it, or whose words it died of.
    #[serde(rename = "words")]
    pub suspicions: Vec<SuspicionView>,
}

/// A word on a suspicion, as it is shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionView {
    /// Who.
    pub by: String,
    /// Why.
    pub cause: crate::Cause,
}

impl From<&SuspicionReport> for SuspicionView {
    fn from(SuspicionReport { by, cause }: &SuspicionReport) -> SuspicionView {
        SuspicionView { by: by.to_string(), cause: *cause }
    }
}

/// All that a process knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    /// Its name.
    pub me: String,
    /// Counts its changes.
    pub version: u64,
    /// The same for two processes that take the same members in the same lives to run.
    pub digest: String,
    /// How this process finds itself cut off from all others.
    pub cut_off: Option<CutOff>,
    /// Another process has its name and has run for longer: this one is no member.
    pub displaced: bool,
    /// Signs that the fault is its own: 0 where all is well, 8 at the most.
    pub health: u32,
    /// By name, this process among them.
    pub members: Vec<MemberView>,
    /// What came and was not taken, by reason.
    pub rejected: BTreeMap<Rejection, u64>,
}

pub(crate) fn ms_ago(now: Micros, at: Micros) -> u64 {
    now.saturating_sub(at) / 1_000
}

impl MembershipView {
    /// The names of those that are taken to run.
    pub fn running(&self) -> impl Iterator<Item = &str> {
        let runs = |m: &&MemberView| matches!(m.state, State::Alive | State::Suspect);
        self.members.iter().filter(runs).map(|m| m.name.as_str())
    }

    /// A member.
    pub fn member(&self, name: &Name) -> Option<&MemberView> {
        self.members.iter().find(|m| m.name == name.as_str())
    }
}
