//! What is shown of it all.

use super::Machine;
use crate::name::Name;
use crate::view::{ms_ago, MemberView, MembershipView};
use crate::Micros;

impl Machine {
    /// What is shown.
    pub fn view(&self, now: Micros) -> MembershipView {
        let me = &self.table.me().name;
        let members = self.table.iter().map(|member| {
            let peer = self.peers.get(&member.record.name);
            let stamp = member.record.stamp;
            MemberView {
                name: member.record.name.to_string(),
                address: member.record.address,
                state: member.state,
                generation: stamp.generation,
                incarnation: format!("{:016x}", stamp.incarnation),
                sequence: stamp.sequence,
                cut_off: member.record.cut_off,
                for_ms: ms_ago(now, peer.map_or(self.started, |p| p.since)),
                heard_ms: peer.and_then(|p| p.heard).map(|at| ms_ago(now, at)),
                reach: peer.map(|p| p.reach).unwrap_or_default(),
                via: peer.and_then(|p| p.via.as_ref()).map(Name::to_string),
                suspicions: member.suspicions.iter().map(Into::into).collect(),
            }
        });
        MembershipView {
            me: me.to_string(),
            version: self.version,
            digest: format!("{:08x}", self.table.digest()),
            cut_off: self.cut_off,
            displaced: self.displaced,
            health: self.health.count(),
            members: members.collect(),
            rejected: self.rejected.clone(),
        }
    }
}
