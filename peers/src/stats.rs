//! What operators see of the peers. The names of the keys in JSON are those of the side port.

use crate::codec::DecodeError;
use flaxhead_membership::MembershipView;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was received and did not come to the machine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WireStats {
    /// Bytes that were no packet, by reason.
    pub bad: BTreeMap<DecodeError, u64>,
    /// From addresses that are not allowed.
    #[serde(rename = "not_let_in")]
    pub not_allowed: u64,
    /// In the name of one that is no member, or is elsewhere.
    #[serde(default, rename = "strangers")]
    pub unknown_senders: u64,
    /// Of a service that this process does not have.
    #[serde(default)]
    pub unknown_channel: u64,
    /// Beyond the rate limit, or sent while the socket was full.
    pub dropped: u64,
}

/// All that operators see of the peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeersView {
    /// What the machine knows.
    #[serde(flatten)]
    pub view: MembershipView,
    /// Whether this process may take part in agreements.
    #[serde(rename = "takes_part")]
    pub participates: bool,
    /// What did not come to the machine.
    pub wire: WireStats,
}
