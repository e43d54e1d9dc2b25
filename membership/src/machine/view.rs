//! What operators see of a machine.

use super::Machine;
use crate::name::Name;
use crate::table::Member;
use crate::view::{ms_ago, MemberView, MembershipView};
use crate::Micros;

impl Machine {
    /// All that the process knows.
    pub fn view(&self, now: Micros) -> MembershipView {
        MembershipView {
            me: self.table.me().name.to_string(),
            version: self.version,
            digest: format!("{:08x}", self.table.digest()),
            cut_off: self.cut_off,
            displaced: self.is_displaced,
            health: self.health.count(),
            members: self.table.iter().map(|member| self.member_view(now, member)).collect(),
            rejected: self.rejected.clone(),
        }
    }

    fn member_view(&self, now: Micros, member: &Member) -> MemberView {
        let record = &member.record;
        let peer = self.peers.get(&record.name);
        MemberView {
            name: record.name.to_string(),
            address: record.address,
            state: member.state,
            generation: record.stamp.generation,
            incarnation: format!("{:016x}", record.stamp.incarnation),
            sequence: record.stamp.sequence,
            cut_off: record.cut_off,
            for_ms: ms_ago(now, peer.map_or(self.started, |peer| peer.since)),
            heard_ms: peer.and_then(|peer| peer.received_at).map(|at| ms_ago(now, at)),
            reach: peer.map(|peer| peer.reach).unwrap_or_default(),
            via: peer.and_then(|peer| peer.via.as_ref()).map(Name::to_string),
            suspicions: member.suspicions.iter().map(Into::into).collect(),
        }
    }
}
