//! Unit tests of `tally`.

use super::*;
use crate::map::MapTerms;

fn map() -> Map {
    let zones = ["a", "b"].map(|zone| (zone.to_owned(), "r".to_owned())).to_vec();
    Map::new(&MapTerms { zones, ..MapTerms::default() }).expect("good")
}

#[test]
fn small_changes_change_no_word_and_large_ones_do() {
    let map = map();
    let mut tally = Tally::new(0, &map, 0);
    let mut words = Vec::new();
    for step in 0..400_u64 {
        let (now, count) = (step * 50_000, if step < 200 { 20 + (step * 7 % 3) as u32 } else { 40 });
        tally.asked(now, 0, count);
        tally.done(now, 1, count, 30);
        words.push(tally.word(now, &map));
    }
    let changes = |range: &[Word]| range.windows(2).filter(|two| two[0] != two[1]).count();
    assert_eq!(changes(&words[60..200]), 0, "{:?}", &words[60..64]);
    assert!(words[399].asked[0] > words[199].asked[0] * 3 / 2);
    assert!(words[399].asked[0].abs_diff(800) <= 100, "{:?}", words[399]);
}

#[test]
fn what_is_over_is_forgotten_within_a_second() {
    let map = map();
    let mut tally = Tally::new(0, &map, 0);
    tally.failed(100, 1, 5);
    assert_eq!(tally.word(100, &map).toward.len(), 1);
    assert_eq!(tally.word(1_100_000, &map).toward.len(), 0);
}
