//! Unit tests of `json_stream`.

use super::*;

fn taken(pieces: &[&str]) -> (Vec<u64>, Result<(), ListError>) {
    let (mut stream, mut versions) = (JsonStream::default(), Vec::new());
    let all =
        pieces.iter().try_for_each(|piece| stream.feed(piece.as_bytes(), |list| versions.push(list.seq)));
    (versions, all)
}

const HOST: &str = r#"{"host":"a}\"{\\","dial":"127.0.0.1:1","health":"Ready","share":1.0}"#;

#[test]
fn lists_are_found_on_a_line_and_over_several_wherever_they_are_cut() {
    let plain = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{HOST}]}}\n\n");
    let value: serde_json::Value = serde_json::from_str(&plain.replace(":1,", ":2,")).expect("JSON");
    let indented = serde_json::to_string_pretty(&value).expect("JSON");
    let all = format!("\n{plain}{indented}\n\n{}\r\n{plain}", indented.replace('\n', "\r\n"));
    for cut in 0..all.len() {
        let (versions, read) = taken(&[&all[..cut], &all[cut..]]);
        assert!(read.is_ok() && versions == [1, 2, 2, 1], "{cut}: {versions:?} {read:?}");
    }
}

#[test]
fn what_is_damaged_is_told_by_the_next_line_at_the_latest() {
    let good = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{HOST}]}}\n");
    for bad in ["{\"seq\":\n\n", "x", "{\"se\n", "}", "{\"seq\":1}\n", &good.replace("}]", "]")] {
        let (versions, read) = taken(&[&good, bad, "\n"]);
        assert!(read.is_err() && versions == [1], "{bad:?}: {versions:?}");
    }
    let endless = format!("{{\"seq\":[{}", "1,".repeat(MAX_LIST_BYTES));
    assert!(matches!(taken(&[&endless]).1, Err(ListError::TooLong(_))));
}
