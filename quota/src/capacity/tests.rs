//! Unit tests of `capacity`.

use super::*;
use crate::book::Terms;

fn host(size: u32, warmth: u32, ready: bool, failing: bool) -> Host {
    Host { size, warmth, ready, failing }
}

#[test]
fn counts_size_and_warmth_of_hosts_that_can_be_used() {
    let terms = Terms { host_calls: 8, ..Terms::default() };
    let book = Book::new(&terms, []).unwrap();
    let hosts = [
        host(1_000, 1_000, true, false),
        host(2_000, 500, true, false),
        host(9_000, 1_000, false, false),
        host(9_000, 1_000, true, true),
    ];
    // 16 calls, less a tenth.
    assert_eq!(carried(&book, &hosts, 1_000), Some(14));
    assert_eq!(carried(&book, &hosts, 500), Some(7));
    assert_eq!(carried(&book, &hosts[2..], 1_000), Some(1));
    assert_eq!(carried(&book, &[], 1_000), None);
    let off = Book::new(&Terms::default(), []).unwrap();
    assert_eq!(carried(&off, &hosts, 1_000), None);
}

#[test]
fn learns_down_to_a_quarter_and_back_to_the_whole() {
    let mut learned = Learned::new(0);
    for second in 1..40 {
        learned.heard(second * WINDOW, 100, 50);
    }
    assert_eq!(learned.part(), LEAST);
    for second in 40..200 {
        learned.heard(second * WINDOW, 100, 0);
    }
    assert_eq!(learned.part(), WHOLE);
    // Too few to say anything.
    learned.heard(300 * WINDOW, ENOUGH as u32 - 1, ENOUGH as u32 - 1);
    assert_eq!(learned.part(), WHOLE);
}
