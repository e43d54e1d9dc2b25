//! Damage to a file, all of it that one cut or one byte can do.

use flaxhead_snapshot::format::{decode, encode};
use flaxhead_snapshot::{ClockReading, Header, Part, Rejection, Snapshot};

fn snapshot() -> Snapshot {
    let part = |name: &str, bytes: &[u8]| Part {
        name: name.to_owned(),
        version: 3,
        ballot: 1 << 40,
        incarnation: 7,
        age_ms: 250,
        bytes: bytes.to_vec(),
    };
    let written = ClockReading { wall_ms: 1_790_000_000_000, up_ms: 5_000, boot: 99 };
    let header = Header { cluster: "a".into(), proxy: "n0".into(), incarnation: 12, writes: 3, written };
    Snapshot {
        header,
        parts: vec![part("list", b"\x00\x01hosts"), part("roster", &[0xff; 40]), part("empty", b"")],
    }
}

#[test]
fn a_file_that_is_cut_anywhere_is_torn_and_one_that_goes_on_too() {
    let bytes = encode(snapshot()).expect("it fits");
    assert_eq!(decode(&bytes), Ok(snapshot()));
    for end in 0..bytes.len() {
        let refused = decode(&bytes[..end]);
        assert!(matches!(refused, Err(Rejection::Truncated { .. })), "cut at {end}: {refused:?}");
    }
    let longer = decode(&[&bytes[..], b"\0"].concat());
    assert!(matches!(longer, Err(Rejection::Truncated { .. })), "{longer:?}");
}

#[test]
fn a_file_with_one_other_byte_is_refused_whatever_the_byte_and_names_the_part_where_it_can() {
    let bytes = encode(snapshot()).expect("it fits");
    let (mut reasons, mut named) = (std::collections::BTreeMap::new(), 0);
    for place in 0..bytes.len() {
        for flip in 1..=u8::MAX {
            let mut damaged = bytes.clone();
            damaged[place] ^= flip;
            let refusal = decode(&damaged).expect_err("refused");
            named += usize::from(refusal.to_string().contains("\"roster\""));
            let reason = match refusal {
                Rejection::NotASnapshot => "foreign",
                Rejection::Truncated { .. } => "torn",
                Rejection::Corrupt(_) => "flipped",
                other => panic!("byte {place} by {flip}: {other:?}"),
            };
            *reasons.entry(reason).or_insert(0) += 1;
        }
    }
    // Eight bytes of mark, four of length, the rest.
    let rest = (bytes.len() - 12) * 255;
    assert_eq!(reasons, [("flipped", rest), ("foreign", 8 * 255), ("torn", 4 * 255)].into());
    assert!(named >= 40 * 255, "the part's own bytes: {named}");
}

#[test]
fn another_form_is_told_from_damage_and_what_is_no_snapshot_from_both() {
    let mut bytes = encode(snapshot()).expect("it fits");
    bytes[16] += 1;
    let sum = crc32fast::hash(&bytes[16..]).to_le_bytes();
    bytes[12..16].copy_from_slice(&sum);
    assert_eq!(decode(&bytes), Err(Rejection::FormatVersion { found: 2, own: 1 }));
    assert_eq!(decode(b"{\"seq\": 1}"), Err(Rejection::NotASnapshot));
    let long = vec![b'F'; (4 << 20) + 1];
    assert!(matches!(decode(&long), Err(Rejection::TooLong { .. })));
}

#[test]
fn what_is_too_much_is_not_written() {
    let grown = |change: fn(&mut Vec<Part>)| {
        let mut snapshot = snapshot();
        change(&mut snapshot.parts);
        encode(snapshot).expect_err("too much").to_string()
    };
    assert!(grown(|parts| parts[0].bytes = vec![0; (1 << 20) + 1]).contains("list"));
    assert!(grown(|parts| parts[0].name = "n".repeat(33)).contains("under a name"));
    assert!(grown(|parts| parts[0].name.clone_from(&"roster".to_owned())).contains("each name once"));
    let many = |parts: &mut Vec<Part>| {
        *parts = (0..5)
            .map(|n| Part { name: n.to_string(), bytes: vec![0; 1 << 20], ..parts[0].clone() })
            .collect();
    };
    assert!(grown(many).contains("in all"));
}
