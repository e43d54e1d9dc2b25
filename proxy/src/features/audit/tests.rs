//! Lines that are edited, removed, moved or lost.

use super::chain::{text, Chain, Change, Line};
use super::trail::record;
use super::*;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use tokio::sync::mpsc;

fn trail(changes: u64) -> Vec<String> {
    let mut chain = Chain::first();
    let change = |n| Change::new("health", Actor::Platform, &format!("s-{n} \"Ready\""));
    (1..=changes).map(|n| chain.link(&change(n))).collect()
}

fn check(lines: &[String]) -> Verdict {
    verify(lines.concat().as_bytes(), None).expect("read")
}

fn broken_at(lines: &[String]) -> u64 {
    match check(lines) {
        Verdict::Broken { seq, .. } => seq,
        whole => panic!("{whole:?}"),
    }
}

#[test]
fn a_line_is_hashed_over_prev_and_its_own_text_without_the_hash() {
    let line = &trail(1)[0];
    let (canonical, hash) = line.split_once(",\"hash\":\"").expect("a hash");
    let canonical = format!("{canonical}}}");
    assert!(
        canonical.starts_with("{\"seq\":1,\"ts_ms\":") && canonical.ends_with(&format!("{FIRST_PREV}\"}}"))
    );
    let digest = Sha256::digest(format!("{FIRST_PREV}{canonical}"));
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hash.trim_end(), format!("{digest}\"}}"));
}

#[test]
fn whatever_is_done_to_a_line_shows_there() {
    let good = trail(9);
    assert_eq!(check(&good), Verdict::Whole(9));
    assert_eq!(check(&[]), Verdict::Whole(0));
    for n in 0..9 {
        let seq = n as u64 + 1;
        let changed = |from: &str, to: &str| {
            let mut lines = good.clone();
            lines[n] = lines[n].replacen(from, to, 1);
            assert_ne!(lines, good, "{from}");
            broken_at(&lines)
        };
        assert_eq!(changed("Ready", "ready"), seq, "edited");
        assert_eq!(changed("platform", "operator"), seq, "edited");
        assert_eq!(changed("{\"seq\":", "{\"seq\":1"), seq, "numbered anew");
        assert_eq!(changed(",\"event\"", ", \"event\""), seq, "spaced");
        assert_eq!(changed("}\n", ",\"more\":1}\n"), seq, "added to");
        let mut cut = good[..=n].to_vec();
        cut[n].pop();
        assert_eq!(broken_at(&cut), seq, "cut by its end of line");
        cut[n].truncate(20);
        assert_eq!(broken_at(&cut), seq, "cut in its middle");
        if n < 8 {
            let mut lines = good.clone();
            lines.remove(n);
            assert_eq!(broken_at(&lines), seq, "removed");
            let mut lines = good.clone();
            lines.swap(n, n + 1);
            assert_eq!(broken_at(&lines), seq, "swapped");
        }
    }
}

/// An edited line whose hash was made anew shows at the next one.
#[test]
fn a_line_that_was_made_anew_breaks_the_next() {
    let mut lines = trail(3);
    let change = Change::new("health", Actor::Platform, "s-1 Gone");
    lines[0] = text(&Line::new(1, FIRST_PREV, &change)) + "\n";
    assert_eq!(broken_at(&lines), 2);
}

#[test]
fn a_file_that_begins_mid_chain_needs_the_hash_before_it() {
    let lines = trail(5);
    assert_eq!(broken_at(&lines[2..]), 1);
    let before: Line = serde_json::from_str(&lines[1]).expect("a line");
    let from = |hash: &str| verify(lines[2..].concat().as_bytes(), Some(hash)).expect("read");
    assert_eq!(from(&before.hash), Verdict::Whole(3));
    assert!(matches!(from(FIRST_PREV), Verdict::Broken { seq: 3, .. }));
}

#[test]
fn a_full_queue_leaves_no_hole_in_the_chain_and_the_trail_says_so() {
    let (jobs, queued) = mpsc::channel(2);
    let trail = Trail { jobs, lost: Arc::default() };
    for n in 0..5 {
        trail.note("health", Actor::Platform, &format!("s-{n} Ready"));
    }
    let lost = trail.lost.clone();
    drop(trail);
    let (mut chain, mut lines) = (Chain::first(), Vec::new());
    record(queued, &lost, |change| lines.push(chain.link(change)));
    assert_eq!(check(&lines), Verdict::Whole(3));
    assert!(lines[1].contains("\"event\":\"lost\"") && lines[1].contains("3 changes"), "{lines:?}");
}

/// A trail is checked by other builds and by others' programs: its form must not change.
#[test]
fn a_line_keeps_its_keys_and_their_order() {
    let line = &trail(1)[0];
    let number_at = line.find("\"ts_ms\":").expect("a time") + "\"ts_ms\":".len();
    let digits = line[number_at..].chars().take_while(char::is_ascii_digit).count();
    let hash_at = line.find("\"hash\":\"").expect("a hash") + "\"hash\":\"".len();
    let form = [&line[..number_at], "0", &line[number_at + digits..hash_at], &line[hash_at + 64..]].concat();
    let expected = format!(
        "{{\"seq\":1,\"ts_ms\":0,\"event\":\"health\",\"actor\":\"platform\",\"detail\":\"s-1 \\\"Ready\\\"\",\
         \"prev\":\"{}\",\"hash\":\"\"}}\n",
        "0".repeat(64)
    );
    assert_eq!(form, expected);
}
