//! Unit tests of `state`.

use super::*;
use crate::features::sections::assert_refused;
use crate::features::Features;

#[test]
fn a_folder_and_an_age_are_all_that_it_takes() {
    let read = |text: &str| Features::parse(text).expect("good").state;
    let (dir, old) = (PathBuf::from("/var/lib/flaxhead"), Duration::from_secs(60));
    assert_eq!(read("[state]\ndir = /var/lib/flaxhead\n"), Some(Settings { dir, old }));
    assert_eq!(read(""), None);
    let cases = [
        ("\n[state]\nold_s = 5\n", 2, "dir is missing"),
        ("[state]\ndir =\n", 2, "no folder"),
        ("[state]\ndir = /a\nold_s = 1\n", 3, "2 to 86400"),
        ("[state]\ndir = /a\nage_s = 5\n", 3, "unknown key age_s"),
    ];
    assert_refused(Features::parse, &cases);
}
