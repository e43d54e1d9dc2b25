//! Unit tests of `book`.

use super::*;

const BANKS: [(&str, f64); 2] = [("banca-trinacria", 0.6), ("cassa-iblea", 0.3)];

fn with(caps: &[&str]) -> Terms {
    Terms { caps: caps.iter().map(|cap| cap.to_string()).collect(), ..Terms::default() }
}

#[test]
fn own_parts_never_make_more_than_the_cap() {
    for cap in 8..200 {
        for own_percent in [1, 25, 50, 100] {
            let terms = Terms { own_percent, ..with(&[&format!("others {cap}")]) };
            let book = Book::new(&terms, BANKS).unwrap();
            let pool = book.pool(2).unwrap();
            assert_eq!(pool + 8 * book.tenants[2].own, cap);
        }
    }
}

#[test]
fn says_what_is_wrong_with_the_caps() {
    let error = |caps: &[&str]| Book::new(&with(caps), BANKS).unwrap_err();
    assert_eq!(error(&["cassa-iblea 20", "cassa-iblea 20"]), BookError::Twice("cassa-iblea".into()));
    assert!(matches!(error(&["cassa 20"]), BookError::Unknown { .. }));
    assert!(matches!(error(&["cassa-iblea 7"]), BookError::UnderLeast { cap: 7, proxies: 8, .. }));
    assert!(matches!(error(&["cassa-iblea"]), BookError::NotACap(_)));
    assert!(matches!(error(&["cassa-iblea -3"]), BookError::NotACap(_)));
    let twice = Book::new(&with(&[]), [("others", 1.0)]).unwrap_err();
    assert_eq!(twice, BookError::Ambiguous("others".into()));
    for (own_percent, margin_percent, proxies_most) in [(0, 10, 8), (101, 10, 8), (25, 100, 8), (25, 10, 0)] {
        let terms = Terms { own_percent, margin_percent, proxies_most, ..Terms::default() };
        assert!(Book::new(&terms, BANKS).is_err(), "{terms:?}");
    }
}

#[test]
fn a_site_without_tenants_has_one_group() {
    let book = Book::new(&with(&["others 10"]), []).unwrap();
    assert_eq!((book.tenants.len(), book.pool(0), book.index(Some("anybody"))), (1, Some(2), 0));
}

#[test]
fn other_terms_have_another_digest() {
    let digest = |caps: &[&str]| Book::new(&with(caps), BANKS).unwrap().digest;
    assert_eq!(digest(&["others 10"]), digest(&["others 10"]));
    assert_ne!(digest(&["others 10"]), digest(&["others 11"]));
}
