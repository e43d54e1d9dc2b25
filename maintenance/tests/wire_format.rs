//! The bytes of everything that the proxies exchange and store for host maintenance. postcard encodes fields and
//! variants by position, so a reordered variant or an inserted field changes the protocol: these bytes must not change.

use flaxhead_lease::{
    Acceptance, Ballot, Denial, LeaseGrant, Message, Name, PersistentState, Process, Promise, Proposal,
    RecoveryQuery, RecoveryReply, RecoveryState, RecoveryStatus as LeaseWord, Renewal, Roster, Version,
    Versioned, VoterRecoveryResponse, VoterSetHashes,
};
use flaxhead_maintenance::{
    Command, CommandResponse, CompletedDrain, Drain, DrainRequest, DrainSchedule, Maintenance, Outcome,
    Rejection, Stage, UsageReport,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

type Encoded = (&'static str, Vec<u8>);

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(value: &impl serde::Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).expect("it can be encoded")
}

fn assert_encoded(encoded: &[Encoded], expected: &[(&str, &str)]) {
    let actual: Vec<(&str, String)> = encoded.iter().map(|(name, bytes)| (*name, hex(bytes))).collect();
    let expected: Vec<(&str, String)> =
        expected.iter().map(|(name, hex)| (*name, (*hex).to_owned())).collect();
    assert_eq!(actual, expected);
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn ballot() -> Ballot {
    Ballot { round: 300, name: name("n1"), incarnation: 7 }
}

fn version() -> Version {
    Version { ballot: Some(ballot()), seq: 5 }
}

fn process() -> Process {
    Process { name: name("n2"), incarnation: 9, address: SocketAddr::from(([127, 0, 0, 2], 7_946)) }
}

fn roster() -> Roster {
    Roster { version: Version { ballot: None, seq: 2 }, processes: BTreeSet::from([process()]) }
}

fn ask() -> DrainRequest {
    DrainRequest {
        host: "h1".to_owned(),
        kind: "kernel".to_owned(),
        by: "ops".to_owned(),
        duration: 1_000_000,
        not_before: 20,
        not_after: Some(30),
        already_out: true,
    }
}

fn turn(stage: Stage) -> Drain {
    Drain {
        id: 3,
        request: ask(),
        stage,
        stage_seq: 4,
        stage_age: 50,
        is_free: true,
        waits_for: "w".to_owned(),
    }
}

fn past(end: Outcome) -> CompletedDrain {
    CompletedDrain { id: 1, host: "h0".to_owned(), by: "ops".to_owned(), outcome: end }
}

fn board() -> DrainSchedule {
    DrainSchedule {
        last_id: 4,
        drains: vec![turn(Stage::OutOfService)],
        completed: VecDeque::from([past(Outcome::Completed)]),
    }
}

fn told() -> Versioned<DrainSchedule> {
    Versioned { version: version(), state: board() }
}

fn word() -> UsageReport {
    UsageReport {
        busy: BTreeMap::from([("h1".to_owned(), 2)]),
        load: 1_500,
        lost_zones: BTreeSet::from(["z1".to_owned()]),
    }
}

fn lease_word() -> LeaseWord {
    LeaseWord {
        voter: Some(RecoveryState::Recovering),
        has_complete_state: true,
        has_lease: false,
        leader: Some(name("n1")),
        peers_with_complete_state: BTreeSet::from([name("n3")]),
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other")]
fn every_message_keeps_its_bytes() {
    let order = Command::Complete { drain: 3, by: "ops".to_owned() };
    let promise = Promise {
        ballot: ballot(),
        incarnation: 9,
        recovery: RecoveryState::Recovered,
        roster: roster(),
        state: told(),
    };
    let renewal = Renewal {
        process: process(),
        sent_at: 1_000,
        has_complete_state: true,
        version: version(),
        highest_ballot: Some(ballot()),
        report: word(),
    };
    let messages: Vec<(&str, Message<Maintenance>)> = vec![
        (
            "Prepare",
            Message::Prepare { ballot: ballot(), voter_sets: VoterSetHashes { current: 1, next: 2 } },
        ),
        ("Promised", Message::Promised(Box::new(promise))),
        ("Denied", Message::Denied(Denial { ballot: ballot(), promised: Some(ballot()), lease_left: 6 })),
        (
            "Propose",
            Message::Propose(Proposal {
                ballot: ballot(),
                round: 2,
                incarnation: 9,
                is_recovered: true,
                roster: roster(),
            }),
        ),
        (
            "Accepted",
            Message::Accepted(Acceptance { ballot: ballot(), round: 2, incarnation: 9, roster: version() }),
        ),
        (
            "Recall",
            Message::VoterRecoveryRequest { nonce: 11, voter_sets: VoterSetHashes { current: 1, next: 2 } },
        ),
        (
            "Recalled",
            Message::VoterRecoveryResponse(Box::new(VoterRecoveryResponse {
                nonce: 11,
                recovery: RecoveryState::StateLost,
                promised: None,
                lease_left: 6,
                roster: roster(),
                state: told(),
            })),
        ),
        ("Tell", Message::StateUpdate { state: told() }),
        ("Renew", Message::Renew(Box::new(renewal))),
        ("Show", Message::StateRequest { ballot: ballot() }),
        ("Shown", Message::StateResponse { ballot: ballot(), state: told(), is_complete: true }),
        (
            "Granted",
            Message::Granted(Box::new(LeaseGrant {
                ballot: ballot(),
                incarnation: 9,
                requested_at: 1_000,
                is_recovered: true,
                grant: (),
            })),
        ),
        (
            "Inquire",
            Message::RecoveryQuery(RecoveryQuery { incarnation: 9, sent_at: 1_000, wants_state: true }),
        ),
        (
            "Informed",
            Message::RecoveryReply(Box::new(RecoveryReply {
                incarnation: 9,
                requested_at: 1_000,
                status: lease_word(),
                state: Some(told()),
            })),
        ),
        ("NotHolder", Message::NotLeader { leader: Some(name("n1")), highest_ballot: Some(ballot()) }),
        ("Order", Message::Command { id: 4, command: order }),
        ("Answer", Message::CommandResponse { id: 4, result: Ok(CommandResponse::Done) }),
    ];
    let encoded: Vec<Encoded> = messages.iter().map(|(name, message)| (*name, bytes(message))).collect();
    assert_encoded(&encoded, EXPECTED_MESSAGES);
    for (name, message) in &messages {
        let decoded: Message<Maintenance> = postcard::from_bytes(&bytes(message)).expect("it can be decoded");
        assert_eq!(decoded, *message, "{name}");
    }
}

#[test]
fn every_state_of_a_voter_keeps_its_number() {
    let states = [
        RecoveryState::Quarantined,
        RecoveryState::Recovering,
        RecoveryState::StateLost,
        RecoveryState::Recovered,
    ];
    assert_eq!(states.map(|state| bytes(&state)), [[0], [1], [2], [3]]);
    let texts = states.map(|state| serde_json::to_string(&state).expect("text"));
    assert_eq!(texts, ["\"silent\"", "\"recalling\"", "\"cold\"", "\"sure\""]);
}

#[test]
fn every_operator_command_and_response_keeps_its_bytes() {
    let by = || "ops".to_owned();
    let encoded: Vec<Encoded> = vec![
        ("Ask", bytes(&Command::Request(ask()))),
        ("Withdraw", bytes(&Command::Withdraw { drain: 3, by: by() })),
        ("Done", bytes(&Command::Complete { drain: 3, by: by() })),
        ("Gone", bytes(&Command::RemoveProcess { name: "n2".to_owned(), by: by() })),
        ("Known", bytes(&Command::DeclareRecovered { by: by() })),
        ("Answer::Turn", bytes(&CommandResponse::Drain { id: 3, stage: Stage::Scheduled })),
        ("Answer::Done", bytes(&CommandResponse::Done)),
        ("NoHolder", bytes(&Rejection::NoLeader)),
        ("TimedOut", bytes(&Rejection::TimedOut)),
        ("UnknownHost", bytes(&Rejection::UnknownHost("h".to_owned()))),
        ("UnknownTurn", bytes(&Rejection::UnknownDrain(3))),
        ("UnknownProcess", bytes(&Rejection::UnknownProcess("n".to_owned()))),
        ("Runs", bytes(&Rejection::ProcessRuns("n".to_owned()))),
        ("Never", bytes(&Rejection::Impossible("w".to_owned()))),
        ("BadText", bytes(&Rejection::InvalidText("by".to_owned()))),
        ("NotYours", bytes(&Rejection::NotOwner { drain: 3, owner: by() })),
        ("WrongStage", bytes(&Rejection::WrongStage { drain: 3, stage: Stage::Draining })),
        ("Ended", bytes(&Rejection::Ended { drain: 3, outcome: Outcome::Completed })),
        ("TooMany", bytes(&Rejection::TooMany(64))),
    ];
    assert_encoded(&encoded, EXPECTED_COMMANDS);
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other")]
fn every_operator_command_and_response_keeps_its_json() {
    let by = || "ops".to_owned();
    let texts = |values: &[serde_json::Value]| values.iter().map(ToString::to_string).collect::<Vec<_>>();
    let json = |value: &dyn erased::Json| value.json();
    let commands: Vec<serde_json::Value> = vec![
        json(&Command::Request(ask())),
        json(&Command::Withdraw { drain: 3, by: by() }),
        json(&Command::Complete { drain: 3, by: by() }),
        json(&Command::RemoveProcess { name: "n2".to_owned(), by: by() }),
        json(&Command::DeclareRecovered { by: by() }),
    ];
    assert_eq!(
        texts(&commands),
        [
            r#"{"Ask":{"already_out":true,"by":"ops","host":"h1","kind":"kernel","lasts":1000000,"not_after":30,"not_before":20}}"#,
            r#"{"Withdraw":{"by":"ops","turn":3}}"#,
            r#"{"Done":{"by":"ops","turn":3}}"#,
            r#"{"Gone":{"by":"ops","name":"n2"}}"#,
            r#"{"Known":{"by":"ops"}}"#,
        ]
    );
    let results: Vec<Result<CommandResponse, Rejection>> = vec![
        Ok(CommandResponse::Drain { id: 3, stage: Stage::Scheduled }),
        Ok(CommandResponse::Done),
        Err(Rejection::NoLeader),
        Err(Rejection::TimedOut),
        Err(Rejection::UnknownHost("h".to_owned())),
        Err(Rejection::UnknownDrain(3)),
        Err(Rejection::UnknownProcess("n".to_owned())),
        Err(Rejection::ProcessRuns("n".to_owned())),
        Err(Rejection::Impossible("w".to_owned())),
        Err(Rejection::InvalidText("by".to_owned())),
        Err(Rejection::NotOwner { drain: 3, owner: by() }),
        Err(Rejection::WrongStage { drain: 3, stage: Stage::Draining }),
        Err(Rejection::Ended { drain: 3, outcome: Outcome::Failed { reason: "w".to_owned() } }),
        Err(Rejection::TooMany(64)),
    ];
    let results: Vec<serde_json::Value> = results.iter().map(|result| json(result)).collect();
    assert_eq!(
        texts(&results),
        [
            r#"{"Ok":{"Turn":{"id":3,"stage":"settled"}}}"#,
            r#"{"Ok":"Done"}"#,
            r#"{"Err":"NoHolder"}"#,
            r#"{"Err":"TimedOut"}"#,
            r#"{"Err":{"UnknownHost":"h"}}"#,
            r#"{"Err":{"UnknownTurn":3}}"#,
            r#"{"Err":{"UnknownProcess":"n"}}"#,
            r#"{"Err":{"Runs":"n"}}"#,
            r#"{"Err":{"Never":"w"}}"#,
            r#"{"Err":{"BadText":"by"}}"#,
            r#"{"Err":{"NotYours":{"by":"ops","turn":3}}}"#,
            r#"{"Err":{"WrongStage":{"stage":"draining","turn":3}}}"#,
            r#"{"Err":{"Ended":{"end":{"failed":{"why":"w"}},"turn":3}}}"#,
            r#"{"Err":{"TooMany":64}}"#,
        ]
    );
}

mod erased {
    /// A value as a tree of JSON; its keys in alphabetical order.
    pub trait Json {
        fn json(&self) -> serde_json::Value;
    }

    impl<T: serde::Serialize> Json for T {
        fn json(&self) -> serde_json::Value {
            serde_json::to_value(self).expect("it can be encoded")
        }
    }
}

#[test]
fn every_stage_and_end_keeps_its_bytes() {
    let encoded: Vec<Encoded> = vec![
        ("Asked", bytes(&turn(Stage::Requested))),
        ("Settled", bytes(&turn(Stage::Scheduled))),
        ("Draining", bytes(&turn(Stage::Draining))),
        ("Out", bytes(&turn(Stage::OutOfService))),
        ("Back", bytes(&turn(Stage::Recovering))),
        ("Done", bytes(&past(Outcome::Completed))),
        ("Withdrawn", bytes(&past(Outcome::Withdrawn { by: "o".to_owned() }))),
        ("Expired", bytes(&past(Outcome::Expired { reason: "e".to_owned() }))),
        ("Failed", bytes(&past(Outcome::Failed { reason: "f".to_owned() }))),
    ];
    assert_encoded(&encoded, EXPECTED_STAGES);
}

#[test]
fn the_record_on_disk_keeps_its_bytes() {
    let memory: PersistentState<Maintenance> = PersistentState {
        is_recovered: true,
        voter_sets: VoterSetHashes { current: 1, next: 2 },
        promised: Some(ballot()),
        highest_ballot: None,
        roster: roster(),
        state: told(),
    };
    assert_encoded(&[("Memory", bytes(&memory))], EXPECTED_RECORD);
}

const EXPECTED_MESSAGES: &[(&str, &str)] = &[
    ("Prepare", "00ac02026e31070102"),
    (
        "Promised",
        "01ac02026e31070903000201026e3209007f0000028a3e01ac02026e310705040103026831066b65726e656c036f7073c0843d14011e010304320101770101026830036f707300",
    ),
    ("Denied", "02ac02026e310701ac02026e310706"),
    ("Propose", "03ac02026e3107020901000201026e3209007f0000028a3e"),
    ("Accepted", "04ac02026e3107020901ac02026e310705"),
    ("Recall", "050b0102"),
    (
        "Recalled",
        "060b020006000201026e3209007f0000028a3e01ac02026e310705040103026831066b65726e656c036f7073c0843d14011e010304320101770101026830036f707300",
    ),
    (
        "Tell",
        "0701ac02026e310705040103026831066b65726e656c036f7073c0843d14011e010304320101770101026830036f707300",
    ),
    ("Renew", "08026e3209007f0000028a3ee8070101ac02026e31070501ac02026e31070102683102dc0b01027a31"),
    ("Show", "09ac02026e3107"),
    (
        "Shown",
        "0aac02026e310701ac02026e310705040103026831066b65726e656c036f7073c0843d14011e010304320101770101026830036f70730001",
    ),
    ("Granted", "0bac02026e310709e80701"),
    ("Inquire", "0c09e80701"),
    (
        "Informed",
        "0d09e8070101010001026e3101026e330101ac02026e310705040103026831066b65726e656c036f7073c0843d14011e010304320101770101026830036f707300",
    ),
    ("NotHolder", "0e01026e3101ac02026e3107"),
    ("Order", "0f040203036f7073"),
    ("Answer", "10040001"),
];

const EXPECTED_COMMANDS: &[(&str, &str)] = &[
    ("Ask", "00026831066b65726e656c036f7073c0843d14011e01"),
    ("Withdraw", "0103036f7073"),
    ("Done", "0203036f7073"),
    ("Gone", "03026e32036f7073"),
    ("Known", "04036f7073"),
    ("Answer::Turn", "000301"),
    ("Answer::Done", "01"),
    ("NoHolder", "00"),
    ("TimedOut", "01"),
    ("UnknownHost", "020168"),
    ("UnknownTurn", "0303"),
    ("UnknownProcess", "04016e"),
    ("Runs", "05016e"),
    ("Never", "060177"),
    ("BadText", "07026279"),
    ("NotYours", "0803036f7073"),
    ("WrongStage", "090302"),
    ("Ended", "0a0300"),
    ("TooMany", "0b40"),
];

const EXPECTED_STAGES: &[(&str, &str)] = &[
    ("Asked", "03026831066b65726e656c036f7073c0843d14011e01000432010177"),
    ("Settled", "03026831066b65726e656c036f7073c0843d14011e01010432010177"),
    ("Draining", "03026831066b65726e656c036f7073c0843d14011e01020432010177"),
    ("Out", "03026831066b65726e656c036f7073c0843d14011e01030432010177"),
    ("Back", "03026831066b65726e656c036f7073c0843d14011e01040432010177"),
    ("Done", "01026830036f707300"),
    ("Withdrawn", "01026830036f707301016f"),
    ("Expired", "01026830036f7073020165"),
    ("Failed", "01026830036f7073030166"),
];

const EXPECTED_RECORD: &[(&str, &str)] = &[
    (
        "Memory",
        "01010201ac02026e310700000201026e3209007f0000028a3e01ac02026e310705040103026831066b65726e656c036f7073c0843d14011e010304320101770101026830036f707300",
    ),
];
