//! Unit tests of `snapshot`.

use super::list::{StoredList, LIST_FORMAT, LIST_PART};
use super::*;
use crate::features::sections::assert_refused;
use crate::features::Features;
use flaxhead_engine::{Endpoint, Health};
use std::borrow::Cow;

#[test]
fn a_folder_and_an_age_are_all_that_it_takes() {
    let read = |text: &str| Features::parse(text).expect("good").snapshot;
    let (dir, old) = (PathBuf::from("/var/lib/flaxhead"), Duration::from_secs(60));
    assert_eq!(read("[state]\ndir = /var/lib/flaxhead\n"), Some(Settings { directory: dir, max_age: old }));
    assert_eq!(read(""), None);
    let cases = [
        ("\n[state]\nold_s = 5\n", 2, "dir is missing"),
        ("[state]\ndir =\n", 2, "no folder"),
        ("[state]\ndir = /a\nold_s = 1\n", 3, "2 to 86400"),
        ("[state]\ndir = /a\nage_s = 5\n", 3, "unknown key age_s"),
    ];
    assert_refused(Features::parse, &cases);
}

/// The part is read by later builds: its bytes must not change.
#[test]
fn the_list_keeps_its_bytes_on_disk() {
    let discovery = SocketAddr::from(([127, 0, 0, 1], 8_500));
    let host = |health: Health| Endpoint {
        host: "s-1".to_owned(),
        dial: SocketAddr::from(([127, 0, 0, 2], 80)),
        site: "z".to_owned(),
        class: "m".to_owned(),
        block: 2,
        health,
        share: 1.0,
        born_ms: 3,
    };
    let hosts = [Health::Ready, Health::Terminating, Health::Gone].map(|health| Cow::Owned(host(health)));
    let list = StoredList { discovery, seq: 300, hosts: hosts.to_vec() };
    let bytes = postcard::to_stdvec(&list).expect("it can be encoded");
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, EXPECTED_LIST);
    assert_eq!((LIST_PART, LIST_FORMAT), ("list", 1));
}

const EXPECTED_LIST: &str = "007f000001b442ac020303732d31007f00000250017a016d0200000000000000f03f0303732d31007f00000250017a016d0201000000000000f03f0303732d31007f00000250017a016d0202000000000000f03f03";
