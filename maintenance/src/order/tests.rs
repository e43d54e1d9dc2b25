//! Unit tests of `order`.

use super::*;

#[test]
fn what_could_never_begin_is_told_so() {
    let good = Ask {
        host: "h1".to_owned(),
        kind: "kernel".to_owned(),
        by: "night shift".to_owned(),
        lasts: 5,
        not_before: 0,
        not_after: None,
        already_out: false,
    };
    assert_eq!(good.check(5), Ok(()));
    for (bad, what) in [
        (Ask { host: String::new(), ..good.clone() }, "host"),
        (Ask { kind: "a\nb".to_owned(), ..good.clone() }, "kind"),
        (Ask { by: "x".repeat(65), ..good.clone() }, "by"),
        (Ask { lasts: 6, ..good.clone() }, "by the limits"),
        (Ask { lasts: 0, ..good.clone() }, "by the limits"),
        (Ask { not_before: 9, not_after: Some(9), ..good.clone() }, "past"),
    ] {
        let refusal = bad.check(5).expect_err("bad").to_string();
        assert!(refusal.contains(what), "{refusal}");
    }
}
