//! Encoding of reports and grants in the messages of the lease protocol. postcard encodes fields and variants
//! by position, so that the bytes expected here change if a field or a variant is moved or inserted.

use flaxhead_lease::{
    LeaseGrant, Message, PersistentState, Promise, Renewal, Roster, Version, Versioned, VoterSetHashes,
};
use flaxhead_quota::{
    Ballot, GrantVersion, LoweredMinimum, Name, Process, QuotaApplication, QuotaConfig, QuotaGrant,
    QuotaReport, ReportedConfig, Slot, TenantRegistry, TenantUsage, Usage,
};
use std::net::SocketAddr;

fn hex(value: &impl serde::Serialize) -> String {
    let bytes = postcard::to_allocvec(value).expect("encodable value");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn name(text: &str) -> Name {
    Name::new(text).expect("valid name")
}

fn ballot() -> Ballot {
    Ballot { round: 300, name: name("n1"), incarnation: 7 }
}

fn registry() -> TenantRegistry {
    let config = QuotaConfig { max_proxies: 4, caps: vec!["a 40".to_owned()], ..QuotaConfig::default() };
    TenantRegistry::new(&config, [("a", 0.5), ("b", 0.25)]).expect("valid config")
}

fn report(reported_slot: Slot) -> QuotaReport {
    let usage = Usage {
        tenants: vec![TenantUsage { in_flight: 1, peak: 2, queued: 3, rejected: 4 }],
        attempts: 500,
        rejected_by_hosts: 6,
    };
    QuotaReport {
        grant_version: Some(GrantVersion { ballot: ballot(), seq: 8 }),
        granted: vec![9, 10],
        grant_left: 11,
        slot: reported_slot,
        usage,
        digest: 12,
        config: Some(ReportedConfig { tenants: registry().tenants, max_proxies: 4 }),
    }
}

fn grant() -> QuotaGrant {
    QuotaGrant {
        seq: 1,
        permits: Some(vec![2, 3]),
        has_slot: true,
        total: Some(4),
        fair_shares: vec![5, 6],
        lowered: vec![LoweredMinimum { tenant: 7, guaranteed: 8 }],
        is_complete: true,
        digest: 9,
        report_interval_ms: 10,
    }
}

fn renewal(slot: Slot) -> Message<QuotaApplication> {
    let process =
        Process { name: name("n2"), incarnation: 9, address: SocketAddr::from(([127, 0, 0, 2], 7_946)) };
    let (version, highest_ballot) = (Version { ballot: None, seq: 0 }, Some(ballot()));
    Message::Renew(Box::new(Renewal {
        process,
        sent_at: 1_000,
        has_complete_state: true,
        version,
        highest_ballot,
        report: report(slot),
    }))
}

#[test]
fn every_message_with_quotas_keeps_its_encoding() {
    let granted = Message::<QuotaApplication>::Granted(Box::new(LeaseGrant {
        ballot: ballot(),
        incarnation: 9,
        requested_at: 1_000,
        is_recovered: true,
        grant: grant(),
    }));
    let versioned_state = Versioned { version: Version { ballot: None, seq: 1 }, state: () };
    let promise = Promise::<QuotaApplication> {
        ballot: ballot(),
        incarnation: 9,
        recovery: flaxhead_lease::RecoveryState::Recovered,
        roster: Roster::default(),
        state: versioned_state.clone(),
    };
    let persistent_state = PersistentState::<QuotaApplication> {
        is_recovered: true,
        voter_sets: VoterSetHashes { current: 1, next: 2 },
        promised: None,
        highest_ballot: Some(ballot()),
        roster: Roster::default(),
        state: versioned_state,
    };
    let actual = [
        ("Renew, Slot::Pending", hex(&renewal(Slot::Pending))),
        ("Renew, Slot::Assigned", hex(&renewal(Slot::Assigned))),
        ("Renew, Slot::Denied", hex(&renewal(Slot::Denied))),
        ("Granted", hex(&granted)),
        ("Promised", hex(&Message::<QuotaApplication>::Promised(Box::new(promise)))),
        ("PersistentState", hex(&persistent_state)),
    ];
    let expected: Vec<(&str, String)> =
        EXPECTED.iter().map(|(name, hex)| (*name, (*hex).to_owned())).collect();
    assert_eq!(actual.to_vec(), expected);
}

/// Guards against a build with another digest for the same configuration: processes of two builds would take
/// their configurations for different ones.
#[test]
fn the_config_digest_keeps_its_value() {
    assert_eq!(registry().digest, EXPECTED_DIGEST);
}

const EXPECTED_DIGEST: u64 = 11994531451941268802;

const EXPECTED: &[(&str, &str)] = &[
    (
        "Renew, Slot::Pending",
        "08026e3209007f0000028a3ee80701000001ac02026e310701ac02026e31070802090a0b000101020304f403060c01030161a0c21e012802016290a10f0000066f746865727390a10f000004",
    ),
    (
        "Renew, Slot::Assigned",
        "08026e3209007f0000028a3ee80701000001ac02026e310701ac02026e31070802090a0b010101020304f403060c01030161a0c21e012802016290a10f0000066f746865727390a10f000004",
    ),
    (
        "Renew, Slot::Denied",
        "08026e3209007f0000028a3ee80701000001ac02026e310701ac02026e31070802090a0b020101020304f403060c01030161a0c21e012802016290a10f0000066f746865727390a10f000004",
    ),
    ("Granted", "0bac02026e310709e80701010102020301010402050601070801090a"),
    ("Promised", "01ac02026e310709030000000001"),
    ("PersistentState", "0101020001ac02026e31070000000001"),
];
