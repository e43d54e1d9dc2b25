//! Unit tests of the validation of drain requests.

use super::*;

#[test]
fn invalid_request_is_rejected_with_the_reason() {
    let valid = DrainRequest {
        host: "h1".to_owned(),
        kind: "kernel".to_owned(),
        by: "night shift".to_owned(),
        duration: 5,
        not_before: 0,
        not_after: None,
        already_out: false,
    };
    assert_eq!(valid.check(5), Ok(()));
    for (invalid, reason) in [
        (DrainRequest { host: String::new(), ..valid.clone() }, "host"),
        (DrainRequest { kind: "a\nb".to_owned(), ..valid.clone() }, "kind"),
        (DrainRequest { by: "x".repeat(65), ..valid.clone() }, "by"),
        (DrainRequest { duration: 6, ..valid.clone() }, "by the limits"),
        (DrainRequest { duration: 0, ..valid.clone() }, "by the limits"),
        (DrainRequest { not_before: 9, not_after: Some(9), ..valid.clone() }, "past"),
    ] {
        let rejection = invalid.check(5).expect_err("invalid request").to_string();
        assert!(rejection.contains(reason), "{rejection}");
    }
}
