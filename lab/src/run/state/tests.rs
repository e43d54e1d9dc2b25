//! Unit tests of `state`.

use super::*;

#[test]
fn a_state_is_kept_lost_or_put_back_as_it_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let folders = Folders::make(folder.path(), 2, 0).expect("made");
    let file = folders.own(1).join("promise");
    let now = || fs::read_to_string(&file).ok();
    fs::write(&file, "old").expect("written");
    folders.copy(1).expect("copied");
    fs::write(&file, "new").expect("written");
    folders.put(1, Kept::Keep).expect("kept");
    assert_eq!(now().as_deref(), Some("new"));
    folders.put(1, Kept::Old).expect("put back");
    assert_eq!(now().as_deref(), Some("old"));
    folders.put(1, Kept::Lose).expect("lost");
    assert_eq!(now(), None);
    assert!(folders.own(0).is_dir() && folders.section(1).contains("n1"));
}
