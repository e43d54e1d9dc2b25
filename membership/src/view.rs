//! What operators see. The names of the keys in JSON are those of the side port.

use crate::liveness::{State, SuspicionReport};
use crate::name::Name;
use crate::packet::Rejection;
use crate::{CutOff, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const MICROS_PER_MILLI: Micros = 1_000;

/// Which directions between this process and a member work, by what this process receives itself; `None`: not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// What this process sends reaches the member.
    pub to_it: Option<bool>,
    /// What the member sends reaches this process.
    pub from_it: Option<bool>,
}

/// A member.
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
    /// Identifies its process, in hexadecimal digits.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// How much the process has announced of itself.
    #[serde(rename = "incarnation")]
    pub sequence: u32,
    /// How it finds itself cut off; `None`: it does not.
    pub cut_off: Option<CutOff>,
    /// How long it has been in its state, in milliseconds.
    pub for_ms: u64,
    /// How long ago it was last received directly, in milliseconds; `None`: never.
    pub heard_ms: Option<u64>,
    /// Which directions work.
    pub reach: Reach,
    /// The member through which it last answered, where the direct path failed.
    pub via: Option<String>,
    /// Who suspects it, or by whose suspicion it was declared dead.
    #[serde(rename = "words")]
    pub suspicions: Vec<SuspicionView>,
}

/// A member's suspicion of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspicionView {
    /// The member that suspects.
    pub by: String,
    /// Why.
    pub cause: crate::Cause,
}

impl From<&SuspicionReport> for SuspicionView {
    fn from(report: &SuspicionReport) -> SuspicionView {
        SuspicionView { by: report.by.to_string(), cause: report.cause }
    }
}

/// All that a process knows of the membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipView {
    /// Its name.
    pub me: String,
    /// Counts the changes of the view.
    pub version: u64,
    /// The same for two processes that take the same members, in the same incarnations, to run.
    pub digest: String,
    /// How this process finds itself cut off; `None`: it does not.
    pub cut_off: Option<CutOff>,
    /// Another process has its name and has run for longer: this one is no member.
    pub displaced: bool,
    /// Signs that the fault is its own: 0 where all is well, 8 at the most.
    pub health: u32,
    /// By name, this process among them.
    pub members: Vec<MemberView>,
    /// What was received and rejected, by reason.
    pub rejected: BTreeMap<Rejection, u64>,
}

/// How long ago a moment was, in milliseconds.
pub(crate) fn ms_ago(now: Micros, at: Micros) -> u64 {
    now.saturating_sub(at) / MICROS_PER_MILLI
}

impl MembershipView {
    /// The names of those that are taken to run.
    pub fn running(&self) -> impl Iterator<Item = &str> {
        let runs = |member: &&MemberView| matches!(member.state, State::Alive | State::Suspect);
        self.members.iter().filter(runs).map(|member| member.name.as_str())
    }

    /// A member, by its name.
    pub fn member(&self, name: &Name) -> Option<&MemberView> {
        self.members.iter().find(|member| member.name == name.as_str())
    }
}
