use super::*;
use crate::DEFAULT_MAX_LIST_BYTES;

fn feed_pieces(pieces: &[&str]) -> (Vec<u64>, Result<(), ListError>) {
    let (mut stream, mut versions) = (JsonStream::new(DEFAULT_MAX_LIST_BYTES), Vec::new());
    let result =
        pieces.iter().try_for_each(|piece| stream.feed(piece.as_bytes(), |list| versions.push(list.seq)));
    (versions, result)
}

const HOST: &str = r#"{"host":"a}\"{\\","dial":"127.0.0.1:1","health":"Ready","share":1.0}"#;

#[test]
fn lists_are_parsed_on_one_line_or_indented_and_split_at_any_byte() {
    let plain = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{HOST}]}}\n\n");
    let value: serde_json::Value = serde_json::from_str(&plain.replace(":1,", ":2,")).expect("JSON");
    let indented = serde_json::to_string_pretty(&value).expect("JSON");
    let stream_text = format!("\n{plain}{indented}\n\n{}\r\n{plain}", indented.replace('\n', "\r\n"));
    for cut in 0..stream_text.len() {
        let (versions, result) = feed_pieces(&[&stream_text[..cut], &stream_text[cut..]]);
        assert!(result.is_ok() && versions == [1, 2, 2, 1], "{cut}: {versions:?} {result:?}");
    }
}

#[test]
fn damaged_lists_are_rejected_by_the_end_of_the_next_line() {
    let good = format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{HOST}]}}\n");
    for bad in ["{\"seq\":\n\n", "x", "{\"se\n", "}", "{\"seq\":1}\n", &good.replace("}]", "]")] {
        let (versions, result) = feed_pieces(&[&good, bad, "\n"]);
        assert!(result.is_err() && versions == [1], "{bad:?}: {versions:?}");
    }
    let too_long = format!("{{\"seq\":[{}", "1,".repeat(DEFAULT_MAX_LIST_BYTES));
    assert!(matches!(feed_pieces(&[&too_long]).1, Err(ListError::TooLong(_))));
}
