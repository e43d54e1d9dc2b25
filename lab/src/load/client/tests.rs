//! Unit tests of `client`.

use super::*;

fn ending(bytes: &[u8]) -> Option<(usize, Ending, bool)> {
    match parse(bytes) {
        Parsed::Whole { length, ending, keep } => Some((length, ending, keep)),
        Parsed::Partial | Parsed::Bad => None,
    }
}

#[test]
fn an_answer_is_whole_at_its_last_byte_and_not_before() {
    let plain = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let chunked = b"HTTP/1.1 503 no\r\nRetry-After: 0.25\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n";
    for (whole, status, after) in [(&plain[..], 200, None), (&chunked[..], 503, Some(250_000))] {
        for cut in 0..whole.len() {
            assert!(matches!(parse(&whole[..cut]), Parsed::Partial), "{cut}");
        }
        let wanted = Ending::Answer { status, body: digest(b"ok"), retry_after: after };
        let twice = [whole, whole].concat();
        assert_eq!(ending(&twice), Some((whole.len(), wanted, true)));
    }
}

#[test]
fn what_is_no_answer_is_told_from_a_part_of_one() {
    for bad in [
        &b"\x16\x03\x01"[..],
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ] {
        assert!(matches!(parse(bad), Parsed::Bad), "{bad:?}");
    }
}
