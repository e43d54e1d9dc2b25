//! The bytes of every datagram between proxies. postcard encodes fields and variants by position, so a reordered variant
//! or an inserted field changes the protocol: these bytes must not change.

use flaxhead_membership::{
    Cause, CutOff, Kind, MemberRecord, Name, Packet, Rejection, Stamp, State, SuspicionReport, Update,
};
use flaxhead_peers::codec::{
    decode, decode_service_frame, encode, encode_service_frame, Channel, DecodeError, ServiceFrame,
};
use std::net::SocketAddr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn at() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 7_946))
}

fn card(cut_off: Option<CutOff>) -> MemberRecord {
    let stamp = Stamp { generation: 300, incarnation: 7, sequence: 2 };
    MemberRecord { name: name("n2"), address: at(), stamp, uptime_ms: 1_000, cut_off }
}

fn packet(kind: Kind, updates: Vec<Update>) -> Packet {
    Packet { from: card(None), digest: 9, kind, updates }
}

fn update(state: State, by: Option<Cause>) -> Update {
    Update { record: card(None), state, by: by.map(|cause| SuspicionReport { by: name("n3"), cause }) }
}

fn packets() -> Vec<(&'static str, Packet)> {
    let speaking = |how: CutOff| Packet { from: card(Some(how)), ..packet(Kind::Gossip, Vec::new()) };
    vec![
        ("Ping", packet(Kind::Ping { seq: 4, to: name("n1") }, Vec::new())),
        ("Ack", packet(Kind::Ack { seq: 4 }, Vec::new())),
        ("PingFor", packet(Kind::PingRequest { seq: 4, name: name("n4"), address: at() }, Vec::new())),
        ("AckFor", packet(Kind::IndirectAck { seq: 4, record: card(None) }, Vec::new())),
        ("NackFor", packet(Kind::IndirectNack { seq: 4, is_refused: true }, Vec::new())),
        ("News", packet(Kind::Gossip, Vec::new())),
        ("Alive", packet(Kind::Gossip, vec![update(State::Alive, None)])),
        ("Heard", packet(Kind::Gossip, vec![update(State::Vouched, None)])),
        ("Suspect", packet(Kind::Gossip, vec![update(State::Suspect, Some(Cause::Silent))])),
        ("Dead", packet(Kind::Gossip, vec![update(State::Dead, Some(Cause::Stalled))])),
        ("Left", packet(Kind::Gossip, vec![update(State::Left, Some(Cause::Refused))])),
        ("Deaf", speaking(CutOff::Deaf)),
        ("Mute", speaking(CutOff::Mute)),
    ]
}

#[test]
fn every_packet_keeps_its_bytes() {
    let packets = packets();
    let encoded: Vec<(&str, String)> =
        packets.iter().map(|(name, packet)| (*name, hex(&encode("c", packet).expect("it fits")))).collect();
    let expected: Vec<(&str, String)> =
        EXPECTED.iter().map(|(name, hex)| (*name, (*hex).to_owned())).collect();
    assert_eq!(encoded, expected);
    for (name, packet) in packets {
        let bytes = encode("c", &packet).expect("it fits");
        assert_eq!(decode("c", &bytes), Ok(packet), "{name}");
    }
}

fn frame(channel: Channel) -> ServiceFrame<'static> {
    ServiceFrame { from: name("n2"), channel, body: b"body" }
}

#[test]
fn a_service_frame_keeps_its_bytes_on_each_channel() {
    let frames = [Channel::MAINTENANCE, Channel::QUOTA]
        .map(|channel| encode_service_frame("c", &frame(channel)).expect("it fits"));
    assert_eq!(frames.each_ref().map(|frame| hex(frame)), EXPECTED_FRAMES);
    assert_eq!(decode_service_frame("c", &frames[0]), Ok(frame(Channel::MAINTENANCE)));
}

/// `/members.json` names these as its keys and values.
#[test]
fn every_name_in_the_members_json_stays() {
    fn texts<T: serde::Serialize>(values: &[T]) -> Vec<String> {
        values.iter().map(|value| serde_json::to_string(value).expect("text").replace('"', "")).collect()
    }
    let states = [State::Alive, State::Vouched, State::Suspect, State::Dead, State::Left];
    assert_eq!(texts(&states), ["alive", "heard", "suspect", "dead", "left"]);
    assert_eq!(texts(&[Cause::Silent, Cause::Stalled, Cause::Refused]), ["silent", "stalled", "refused"]);
    assert_eq!(texts(&[CutOff::Deaf, CutOff::Mute]), ["deaf", "mute"]);
    let rejects = [
        Rejection::SenderMismatch,
        Rejection::EarlierIncarnation,
        Rejection::Implausible,
        Rejection::TooMany,
        Rejection::Unsolicited,
    ];
    assert_eq!(texts(&rejects), ["not-its-sender", "earlier-life", "implausible", "too-many", "unasked"]);
    let bad = [
        DecodeError::Truncated,
        DecodeError::TooLong,
        DecodeError::Foreign,
        DecodeError::Version,
        DecodeError::Cluster,
        DecodeError::Checksum,
        DecodeError::Malformed,
    ];
    let names = ["cut", "huge", "foreign", "version", "cluster", "checksum", "malformed"];
    assert_eq!(texts(&bad), names);
}

const EXPECTED_FRAMES: [&str; 2] =
    ["6672020163026e320104626f647978320504", "6672020163026e320204626f6479fea677aa"];

const EXPECTED: &[(&str, &str)] = &[
    ("Ping", "6678010163026e32007f0000028a3eac020702e80700090004026e31003494915e"),
    ("Ack", "6678010163026e32007f0000028a3eac020702e80700090104009ed882e5"),
    ("PingFor", "6678010163026e32007f0000028a3eac020702e80700090204026e34007f0000028a3e0054f67b32"),
    (
        "AckFor",
        "6678010163026e32007f0000028a3eac020702e80700090304026e32007f0000028a3eac020702e80700006da406cd",
    ),
    ("NackFor", "6678010163026e32007f0000028a3eac020702e8070009040401002c39e08b"),
    ("News", "6678010163026e32007f0000028a3eac020702e80700090500d07c373c"),
    (
        "Alive",
        "6678010163026e32007f0000028a3eac020702e80700090501026e32007f0000028a3eac020702e807000000ea0d205f",
    ),
    (
        "Heard",
        "6678010163026e32007f0000028a3eac020702e80700090501026e32007f0000028a3eac020702e807000100f316111e",
    ),
    (
        "Suspect",
        "6678010163026e32007f0000028a3eac020702e80700090501026e32007f0000028a3eac020702e807000201026e330013953009",
    ),
    (
        "Dead",
        "6678010163026e32007f0000028a3eac020702e80700090501026e32007f0000028a3eac020702e807000301026e3301afced33a",
    ),
    (
        "Left",
        "6678010163026e32007f0000028a3eac020702e80700090501026e32007f0000028a3eac020702e807000401026e33022bc2b238",
    ),
    ("Deaf", "6678010163026e32007f0000028a3eac020702e8070100090500c9b88426"),
    ("Mute", "6678010163026e32007f0000028a3eac020702e80701010905007104e343"),
];

/// `/members.json` is read by others' programs: its keys and their order must not change.
#[test]
fn the_members_json_keeps_its_keys_and_their_order() {
    let text = concat!(
        r#"{"me":"n1","version":3,"digest":"0000000a","cut_off":"deaf","displaced":false,"health":1,"members":["#,
        r#"{"name":"n2","at":"127.0.0.2:7946","state":"suspect","generation":1,"life":"0000000000000007","#,
        r#""incarnation":2,"cut_off":null,"for_ms":10,"heard_ms":20,"reach":{"to_it":true,"from_it":null},"#,
        r#""via":"n3","words":[{"by":"n3","cause":"stalled"}]}],"rejected":{"unasked":4},"takes_part":true,"#,
        r#""wire":{"bad":{"cut":1},"not_let_in":2,"strangers":3,"unknown_channel":4,"dropped":5}}"#,
    );
    let shown: flaxhead_peers::PeersView = serde_json::from_str(text).expect("it is understood");
    assert_eq!(serde_json::to_string(&shown).expect("text"), text);
}
