//! Unit tests of `head`.

use super::*;

const HEAD: &[u8] = b"GET /api HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n";

#[test]
fn the_end_of_a_head_is_found_however_it_is_cut() {
    for first in 0..HEAD.len() {
        for second in first..HEAD.len() {
            let mut scanner = HeadScanner::default();
            assert!(!scanner.take(&HEAD[..first]) && !scanner.take(&HEAD[first..second]), "{first} {second}");
            assert!(scanner.take(&HEAD[second..]), "{first} {second}");
        }
    }
}

#[test]
fn what_no_head_has_counts_as_its_end() {
    for bytes in [&b"\x16\x03\x01"[..], b"GET \0", b"\n\n"] {
        assert!(HeadScanner::default().take(bytes), "{bytes:?}");
    }
    assert!(!HeadScanner::default().take(b"GET / HTTP/1.1\r\n"));
}

#[test]
fn only_a_head_that_is_incomplete_lets_the_buffer_grow() {
    let mut progress = HeadProgress::default();
    progress.record(HEAD);
    assert_eq!(progress.excess_buffer_bytes(), 0);
    progress.restart();
    progress.record(&HEAD[..9]);
    assert_eq!(progress.excess_buffer_bytes(), READ_BUFFER_BYTES);
    progress.record(&[b'x'; 60_000]);
    assert_eq!(progress.excess_buffer_bytes(), (128 << 10) - READ_BUFFER_BYTES);
}
