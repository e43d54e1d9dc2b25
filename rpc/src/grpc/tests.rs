//! Unit tests of `grpc`.

use super::*;

fn answer(fields: &[(&'static str, &'static str)]) -> Answer {
    let pair = |&(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value));
    Answer { trailers: Some(fields.iter().map(pair).collect()), ..Answer::default() }
}

#[test]
fn what_an_answer_proves() {
    let (ok, busy) = (StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE);
    type Case<'a> = (StatusCode, &'a [(&'static str, &'static str)], Outcome, bool);
    let cases: [Case; 11] = [
        (ok, &[("grpc-status", "0")], Outcome::Served, true),
        (ok, &[("grpc-status", "5")], Outcome::Served, true),
        (ok, &[("grpc-status", "14")], Outcome::Error, false),
        (ok, &[("grpc-status", "14"), ("x-rejected", "1")], Outcome::Rejected, false),
        (ok, &[("grpc-status", "13"), ("x-rejected", "1")], Outcome::Error, false),
        (ok, &[("grpc-status", "14"), ("grpc-retry-pushback-ms", "-1")], Outcome::Error, true),
        (ok, &[("grpc-status", "14"), ("grpc-retry-pushback-ms", "soon")], Outcome::Error, true),
        (ok, &[("grpc-status", "15")], Outcome::Error, true),
        (ok, &[("grpc-status", "99")], Outcome::Unknown, false),
        (ok, &[], Outcome::Unknown, false),
        (busy, &[], Outcome::Error, false),
    ];
    for (http, fields, outcome, last) in cases {
        assert_eq!(verdict(http, &mut answer(fields), None), (outcome, last), "{fields:?}");
    }
    let aborted = &[("grpc-status", "10")];
    assert_eq!(verdict(ok, &mut answer(aborted), Some(&[Code::Aborted])), (Outcome::Error, false));
    assert_eq!(verdict(ok, &mut answer(aborted), None), (Outcome::Served, true));
    let internal = &[("grpc-status", "13")];
    assert_eq!(verdict(ok, &mut answer(internal), Some(&[Code::Unavailable])), (Outcome::Error, true));
    let mut plain = Answer::default();
    plain.headers.insert(REJECTED, HeaderValue::from_static("1"));
    assert_eq!(verdict(busy, &mut plain, None), (Outcome::Rejected, false));
}

#[test]
fn timeouts_are_read_and_written_as_grpc_has_them() {
    for (text, micros) in
        [("1S", 1_000_000), ("250m", 250_000), ("99999999u", 99_999_999), ("1M", 60_000_000)]
    {
        let value = HeaderValue::from_static(text);
        assert_eq!(timeout(&value), Some(Duration::from_micros(micros)), "{text}");
    }
    for text in ["", "S", "1", "-1S", "123456789S", "1 S", "1x", "+1S"] {
        assert_eq!(timeout(&HeaderValue::from_static(text)), None, "{text}");
    }
    for left in [Duration::ZERO, Duration::from_micros(1_500), Duration::from_secs(3_600), Duration::MAX] {
        let read = timeout(&timeout_value(left)).expect("what is written can be read");
        assert!(read > Duration::ZERO && (read <= left || left.is_zero()), "{left:?}: {read:?}");
    }
}

#[test]
fn an_answer_of_our_own_can_be_read_again() {
    let after = Pushback::After(Duration::from_micros(1_001));
    let own = Answer::of(Code::Unavailable, "100 % full,\nücome again", Some("never-ran"), after);
    assert_eq!(own.code(), Some(Code::Unavailable));
    assert_eq!(own.message(), "100 % full,\nücome again");
    assert_eq!(own.pushback(), Pushback::After(Duration::from_millis(2)), "never sooner");
    assert_eq!(Answer::of(Code::Unknown, "", None, Pushback::Never).pushback(), Pushback::Never);
}

#[test]
fn messages_are_taken_out_of_their_frames() {
    let body = [framed(b"one"), framed(b""), framed(b"three")].concat();
    let whole = Answer { body: body.clone().into(), ..Answer::default() };
    assert_eq!(whole.messages().expect("whole"), [&b"one"[..], b"", b"three"]);
    for cut in 1..body.len() {
        let ends = [PREFIX + 3, PREFIX * 2 + 3].contains(&cut);
        let part = Answer { body: body[..cut].to_vec().into(), ..Answer::default() };
        assert_eq!(part.messages().is_some(), ends, "cut at {cut}");
    }
}
