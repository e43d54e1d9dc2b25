//! The time spans and limits of the protocol.

use crate::Micros;

/// The time spans and limits of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Time between two probes.
    pub probe_interval: Micros,
    /// How long the answer to a ping may take.
    pub ack_timeout: Micros,
    /// Members that are asked to ping one that did not answer.
    pub indirect_probes: usize,
    /// How often updates are sent while there are any.
    pub gossip_interval: Micros,
    /// To how many members they are sent.
    pub fanout: usize,
    /// The shortest suspicion, with all confirmations: longer than any pause that is to be tolerated.
    pub min_suspicion: Micros,
    /// The longest suspicion, without any.
    pub max_suspicion: Micros,
    /// Confirmations that shorten a suspicion to the minimum.
    pub confirmations: u32,
    /// How often two views are compared.
    pub sync_interval: Micros,
    /// How often a member that is gone is pinged, in case it is back.
    pub reconnect_interval: Micros,
    /// How long members that are gone are remembered.
    pub retention: Micros,
    /// Maximum size of a packet, in bytes.
    pub max_packet_bytes: usize,
    /// Plain SWIM, without local health, vouching, confirmations and checks of a member's machine. For comparison.
    pub is_plain_swim: bool,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            probe_interval: 500_000,
            ack_timeout: 150_000,
            indirect_probes: 3,
            gossip_interval: 200_000,
            fanout: 3,
            min_suspicion: 6_000_000,
            max_suspicion: 12_000_000,
            confirmations: 3,
            sync_interval: 15_000_000,
            reconnect_interval: 5_000_000,
            retention: 3_600_000_000,
            max_packet_bytes: 1_200,
            is_plain_swim: false,
        }
    }
}
