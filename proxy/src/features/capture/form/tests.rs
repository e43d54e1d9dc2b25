//! The bytes of captured frames. A capture of an earlier build is replayed by a later one: these bytes must not change.

use super::*;
use flaxhead_engine::Health;
use flaxhead_policy::{
    CellId, ClassId, Entry, ListKind, LoadReport, ModelId, Outcome, State, TenantId, ZoneId,
};

fn hex(value: &impl Serialize) -> String {
    let bytes = postcard::to_allocvec(value).expect("it can be encoded");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn assert_encoded(actual: &[(&str, String)], expected: &[(&str, &str)]) {
    let expected: Vec<(&str, String)> =
        expected.iter().map(|(name, hex)| (*name, (*hex).to_owned())).collect();
    assert_eq!(actual, expected);
}

fn call() -> CallId {
    CallId(300)
}

fn load() -> LoadReport {
    LoadReport { active_requests: Some(1.0), queued_requests: None, cpu_utilization: Some(0.5) }
}

fn events() -> Vec<(&'static str, Event)> {
    let entry = |state| Entry {
        server: ServerId(1),
        state,
        zone: ZoneId(2),
        model: ModelId(3),
        cell: CellId(4),
        started_at: 5,
        weight: 1.0,
    };
    let members = |kind, state| Event::Members { kind, entries: vec![entry(state)] };
    let ended = |outcome| Event::Outcome {
        call: call(),
        attempt: 1,
        outcome,
        elapsed: 2,
        complete: true,
        load: load(),
    };
    vec![
        ("Start", Event::Start),
        ("Members, Delta, Ready", members(ListKind::Delta, State::Ready)),
        ("Members, Full, Draining", members(ListKind::Full, State::Draining)),
        ("Members, Cached, Removed", members(ListKind::Cached, State::Removed)),
        ("Members, Failed", Event::Members { kind: ListKind::Failed, entries: Vec::new() }),
        (
            "Request",
            Event::Request {
                call: call(),
                class: ClassId(1),
                tenant: Some(TenantId(2)),
                time_left: 3,
                resent: true,
            },
        ),
        ("Outcome, Served", ended(Outcome::Served)),
        ("Outcome, Error", ended(Outcome::Error)),
        ("Outcome, Rejected", ended(Outcome::Rejected)),
        ("Outcome, TimedOut", ended(Outcome::TimedOut)),
        ("Outcome, NoConnection", ended(Outcome::NoConnection)),
        ("Outcome, Reset", ended(Outcome::Reset)),
        ("Outcome, Cancelled", ended(Outcome::Cancelled)),
        ("Outcome, NotSent", ended(Outcome::NotSent)),
        ("Outcome, Unknown", ended(Outcome::Unknown)),
        ("Streaming", Event::Streaming { call: call(), attempt: 1 }),
        ("Probed", Event::Probed { server: ServerId(1), outcome: Outcome::Served, load: load() }),
        ("ClientCancelled", Event::ClientCancelled { call: call() }),
        ("Timer", Event::Timer),
    ]
}

fn actions() -> Vec<(&'static str, Action)> {
    let server = ServerId(1);
    vec![
        ("Send", Action::Send { call: call(), server, deadline: Some(2), send_by: None }),
        ("Reject", Action::Reject { call: call(), retry_after: 3 }),
        ("Fail", Action::Fail { call: call() }),
        ("Cancel", Action::Cancel { call: call(), attempt: 1 }),
        ("Probe", Action::Probe { server }),
        ("Wake", Action::Wake { after: 4 }),
        ("Subscribe", Action::Subscribe),
        ("Log", Action::Log { text: "t".to_owned() }),
    ]
}

#[test]
fn every_event_and_action_keeps_its_bytes() {
    let events = events();
    let actions = actions();
    let events = events.iter().map(|(name, event)| (*name, hex(event)));
    let actions = actions.iter().map(|(name, action)| (*name, hex(action)));
    let encoded: Vec<(&str, String)> = events.chain(actions).collect();
    assert_encoded(&encoded, EXPECTED_STEPS);
}

#[test]
fn every_recorded_item_keeps_its_bytes() {
    let dial = SocketAddr::from(([127, 0, 0, 1], 80));
    let host = Endpoint {
        host: "s-1".to_owned(),
        dial,
        site: "z".to_owned(),
        class: "m".to_owned(),
        block: 2,
        health: Health::Ready,
        share: 1.0,
        born_ms: 3,
    };
    let items: Vec<(&str, Item<'_>)> = vec![
        ("Host", Item::Host { server: ServerId(1), host: "s-1".into(), dial }),
        ("Open", Item::Open { call: call(), id: "c-1".into() }),
        ("Line", Item::Line { seq: 7, whole: true, hosts: vec![(ServerId(1), Cow::Owned(host))] }),
        (
            "Asked",
            Item::Asked {
                call: call(),
                class: "safe".into(),
                caller: "a".into(),
                id: "c-1".into(),
                budget_ms: 800,
            },
        ),
        ("Fed", Item::Fed(Cow::Owned(Event::Timer))),
        ("Did", Item::Did(Cow::Owned(Action::Subscribe))),
        ("Answered", Item::Answered { call: call(), code: 503 }),
    ];
    let records = items.into_iter().map(|(name, item)| (name, hex(&Record { ms: 300, us: 7, item })));
    assert_encoded(&records.collect::<Vec<_>>(), EXPECTED_RECORDS);
}

#[test]
fn a_file_opens_with_the_same_bytes() {
    let settings = Told::default();
    let opening = Opening { number: 1, origin: 2, missed: 3, settings: &settings, state: None };
    let version = Version { program: "flaxhead 0".into(), format: FORMAT };
    let encoded = [("Version", hex(&version)), ("Opening", hex(&opening))];
    assert_encoded(&encoded, EXPECTED_OPENING);
    assert_eq!((FORMAT, SEED, LENGTH, MARK, FOLLOWS), (6, 8, 3, "CAP ", "capture: below is "));
}

const EXPECTED_STEPS: &[(&str, &str)] = &[
    ("Start", "00"),
    ("Members, Delta, Ready", "010001010002030405000000000000f03f"),
    ("Members, Full, Draining", "010101010102030405000000000000f03f"),
    ("Members, Cached, Removed", "010201010202030405000000000000f03f"),
    ("Members, Failed", "010300"),
    ("Request", "02ac020101020301"),
    ("Outcome, Served", "03ac020100020101000000000000f03f0001000000000000e03f"),
    ("Outcome, Error", "03ac020101020101000000000000f03f0001000000000000e03f"),
    ("Outcome, Rejected", "03ac020102020101000000000000f03f0001000000000000e03f"),
    ("Outcome, TimedOut", "03ac020103020101000000000000f03f0001000000000000e03f"),
    ("Outcome, NoConnection", "03ac020104020101000000000000f03f0001000000000000e03f"),
    ("Outcome, Reset", "03ac020105020101000000000000f03f0001000000000000e03f"),
    ("Outcome, Cancelled", "03ac020106020101000000000000f03f0001000000000000e03f"),
    ("Outcome, NotSent", "03ac020107020101000000000000f03f0001000000000000e03f"),
    ("Outcome, Unknown", "03ac020108020101000000000000f03f0001000000000000e03f"),
    ("Streaming", "04ac0201"),
    ("Probed", "05010001000000000000f03f0001000000000000e03f"),
    ("ClientCancelled", "06ac02"),
    ("Timer", "07"),
    ("Send", "00ac0201010200"),
    ("Reject", "01ac0203"),
    ("Fail", "02ac02"),
    ("Cancel", "03ac0201"),
    ("Probe", "0401"),
    ("Wake", "0504"),
    ("Subscribe", "06"),
    ("Log", "070174"),
];

const EXPECTED_RECORDS: &[(&str, &str)] = &[
    ("Host", "ac0207000103732d31007f00000150"),
    ("Open", "ac020701ac0203632d31"),
    ("Line", "ac0207020701010103732d31007f00000150017a016d0200000000000000f03f03"),
    ("Asked", "ac020703ac020473616665016103632d31a006"),
    ("Fed", "ac02070407"),
    ("Did", "ac02070506"),
    ("Answered", "ac020706ac02f703"),
];

const EXPECTED_OPENING: &[(&str, &str)] = &[
    ("Version", "0a666c617868656164203006"),
    (
        "Opening",
        "0102030100e8070001a0c21ec0843d000000000000f03f0000000000000000020001000003c0843d9a9999999999b93f80dac40980ade2040000000000000440000000000000f03f00000000000000000000",
    ),
];
