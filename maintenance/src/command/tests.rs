//! Unit tests of commands.

use super::*;

#[test]
fn a_request_that_could_never_begin_is_rejected_with_the_reason() {
    let good = DrainRequest {
        host: "h1".to_owned(),
        kind: "kernel".to_owned(),
        by: "night shift".to_owned(),
        duration: 5,
        not_before: 0,
        not_after: None,
        already_out: false,
    };
    assert_eq!(good.check(5), Ok(()));
    for (bad, what) in [
        (DrainRequest { host: String::new(), ..good.clone() }, "host"),
        (DrainRequest { kind: "a\nb".to_owned(), ..good.clone() }, "kind"),
        (DrainRequest { by: "x".repeat(65), ..good.clone() }, "by"),
        (DrainRequest { duration: 6, ..good.clone() }, "by the limits"),
        (DrainRequest { duration: 0, ..good.clone() }, "by the limits"),
        (DrainRequest { not_before: 9, not_after: Some(9), ..good.clone() }, "past"),
    ] {
        let rejection = bad.check(5).expect_err("bad").to_string();
        assert!(rejection.contains(what), "{rejection}");
    }
}
