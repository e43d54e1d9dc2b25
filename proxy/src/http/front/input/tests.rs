//! Unit tests of `input`.

use super::*;
use crate::memory::WhenFull;

const HEAD: &[u8] = b"GET /api HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n";

fn input() -> Input {
    Input::new(MemoryPool::new(1 << 20, WhenFull::Refuse))
}

/// Guards against a head that is gathered for good, whatever the library has of it already.
#[test]
fn a_head_is_passed_on_with_its_last_byte_however_it_was_cut() {
    for first in 0..HEAD.len() {
        for second in first..HEAD.len() {
            let mut input = input();
            // The library has read the beginning behind the request before.
            input.record_passed(&HEAD[..first]);
            input.begin_head();
            if second > first {
                assert!(!input.is_passed_at_once(&HEAD[first..second]), "{first} {second}");
                input.add(&HEAD[first..second]);
                assert!(!input.is_ready(), "{first} {second}");
                input.add(&HEAD[second..]);
                assert!(input.is_ready(), "{first} {second}");
            } else {
                assert!(input.is_passed_at_once(&HEAD[first..]), "{first}");
            }
        }
    }
}

#[test]
fn a_small_head_in_pieces_takes_little_and_releases_it() {
    let pool = MemoryPool::new(1 << 20, WhenFull::Refuse);
    let mut input = Input::new(pool.clone());
    for &byte in HEAD {
        input.add(&[byte]);
        assert!(pool.stats().reserved <= MIN_CAPACITY_BYTES);
    }
    let mut passed = Vec::new();
    input.pass(usize::MAX, |bytes| passed.extend_from_slice(bytes));
    assert_eq!((passed.as_slice(), pool.stats().reserved), (HEAD, 0));
}
