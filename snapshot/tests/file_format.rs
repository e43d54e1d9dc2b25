//! The bytes of a snapshot file. A proxy of a later build takes up what an earlier one wrote: these bytes must not
//! change.

use flaxhead_snapshot::format::{decode, encode};
use flaxhead_snapshot::{ClockReading, Header, Part, Snapshot};

fn snapshot() -> Snapshot {
    let written = ClockReading { wall_ms: 1_790_000_000_000, up_ms: 5_000, boot: 99 };
    let header = Header { cluster: "c".into(), proxy: "n0".into(), incarnation: 12, writes: 3, written };
    let part = |name: &str, bytes: &[u8]| Part {
        name: name.to_owned(),
        version: 3,
        ballot: 300,
        incarnation: 7,
        age_ms: 250,
        bytes: bytes.to_vec(),
    };
    Snapshot { header, parts: vec![part("list", b"hosts"), part("turns", b"")] }
}

#[test]
fn a_file_keeps_its_bytes() {
    let bytes = encode(snapshot()).expect("it fits");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, EXPECTED);
    assert_eq!(decode(&bytes), Ok(snapshot()));
}

const EXPECTED: &str = "464c415848454144370000009d2c7e10010163026e300c0380d8c1a28c3488276302046c69737403ac0207fa0105686f737473057475726e7303ac0207fa010002b9cdb5c60d00";
