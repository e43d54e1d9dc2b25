//! How the protocol is paced.

use crate::Micros;

/// How the protocol is paced.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// One probe each.
    pub probe_interval: Micros,
    /// How long an answer to a ping may take.
    pub ack_timeout: Micros,
    /// Members that are asked to ask one that did not answer.
    pub indirect_probes: usize,
    /// How often updates are sent on while there are any, and to how many.
    pub gossip_interval: Micros,
    /// See `gossip_every`.
    pub fanout: usize,
    /// How long a suspicion lasts at the least, with all confirmations: longer than any pause that is to be borne.
    pub min_suspicion: Micros,
    /// And at the most, without any.
    pub max_suspicion: Micros,
    /// Confirmations that bring it to the least.
    pub confirmations: u32,
    /// How often two views are compared.
    pub sync_interval: Micros,
    /// How often one that is gone is asked whether it is back.
    pub reconnect_interval: Micros,
    /// How long those that are gone are remembered.
    pub retention: Micros,
    /// Bytes of a packet at the most.
    pub max_packet_bytes: usize,
    /// Plain SWIM: no health of oneself, no vouching, no confirmations, no asking a member's machine. For comparison.
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
