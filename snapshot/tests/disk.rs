//! Replacing a file on disks that stop between any two steps, and the thread that does it. Tests wait on conditions.

use flaxhead_snapshot::disk::{file, replace, DiskFault, ReplaceableFile};
use flaxhead_snapshot::format::{decode, encode};
use flaxhead_snapshot::{
    AgeLimits, AsOf, Header, Identity, Part, Rejection, Snapshot, SnapshotWriter, StoreOptions,
};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FOREVER: Duration = Duration::from_secs(3_600);
const BOUNDS: AgeLimits = AgeLimits { max_age_ms: 60_000, max_ahead_ms: 1_000 };

fn part(name: &str, text: &str) -> Part {
    Part {
        name: name.into(),
        version: 1,
        ballot: 0,
        incarnation: 1,
        age_ms: 0,
        bytes: text.as_bytes().to_vec(),
    }
}

fn mine() -> Identity {
    Identity { cluster: String::new(), proxy: "n0".into() }
}

fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(30);
    while !condition() {
        assert!(Instant::now() < until, "never: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A disk that loses, when the power goes, whatever was not synced, or keeps it, as it likes.
#[derive(Clone, Default)]
struct Disk {
    old: Vec<u8>,
    new: Option<(Vec<u8>, bool)>,
    renamed: Option<(Vec<u8>, bool)>,
    steps: usize,
}

impl Disk {
    fn step(&mut self) -> Result<(), DiskFault> {
        self.steps = self.steps.checked_sub(1).ok_or(DiskFault::Disk("no power".into()))?;
        Ok(())
    }

    /// All that the file may hold afterwards.
    fn after(&self) -> Vec<Vec<u8>> {
        let mut found = vec![self.old.clone()];
        if let Some((bytes, synced)) = &self.renamed {
            let least = if *synced { bytes.len() } else { 0 };
            found.extend((least..=bytes.len()).map(|end| bytes[..end].to_vec()));
        }
        found
    }
}

impl ReplaceableFile for Disk {
    fn prepare(&mut self) -> Result<(), DiskFault> {
        self.step()
    }
    fn write_new(&mut self, bytes: &[u8]) -> Result<(), DiskFault> {
        self.step()?;
        self.new = Some((bytes.to_vec(), false));
        Ok(())
    }
    fn sync_new(&mut self) -> Result<(), DiskFault> {
        self.step()?;
        self.new.as_mut().expect("written").1 = true;
        Ok(())
    }
    fn rename_new(&mut self) -> Result<(), DiskFault> {
        self.step()?;
        self.renamed = self.new.take();
        Ok(())
    }
    fn sync_directory(&mut self) -> Result<(), DiskFault> {
        self.step()?;
        self.old = self.renamed.take().expect("renamed").0;
        Ok(())
    }
}

#[test]
fn wherever_the_power_goes_the_file_is_the_old_one_or_the_new_one() {
    let bytes = |text| {
        encode(Snapshot { header: Header::default(), parts: vec![part("list", text)] }).expect("it fits")
    };
    let whole =
        |found: &[u8]| decode(found).is_ok_and(|s| [&b"old"[..], b"new"].contains(&&s.parts[0].bytes[..]));
    let hurried = |disk: &mut Disk| {
        disk.write_new(&bytes("new"))?;
        disk.rename_new()
    };
    let disk = |steps| Disk { old: bytes("old"), steps, ..Disk::default() };
    for steps in 0..=5 {
        let mut disk = disk(steps);
        let done = replace(&mut disk, &bytes("new"));
        assert!(disk.after().iter().all(|found| whole(found)), "after {steps} steps");
        assert_eq!(
            (done.is_ok(), disk.after() == [bytes("new")]),
            (steps == 5, steps == 5),
            "durable once it says so"
        );
    }
    // And this would show one that renames before it syncs.
    let mut hurry = disk(2);
    assert_eq!(hurried(&mut hurry), Ok(()));
    assert!(!hurry.after().iter().all(|found| whole(found)));
}

/// A disk that a test holds still, fills and empties.
#[derive(Clone, Default)]
struct Slow {
    written: Arc<Mutex<Vec<Vec<u8>>>>,
    trouble: Arc<Mutex<Option<DiskFault>>>,
}

impl ReplaceableFile for Slow {
    fn prepare(&mut self) -> Result<(), DiskFault> {
        self.trouble.lock().expect("held").clone().map_or(Ok(()), Err)
    }
    fn write_new(&mut self, bytes: &[u8]) -> Result<(), DiskFault> {
        self.written.lock().expect("held").push(bytes.to_vec());
        Ok(())
    }
    fn sync_new(&mut self) -> Result<(), DiskFault> {
        Ok(())
    }
    fn rename_new(&mut self) -> Result<(), DiskFault> {
        Ok(())
    }
    fn sync_directory(&mut self) -> Result<(), DiskFault> {
        Ok(())
    }
}

fn serve(keeper: &SnapshotWriter, disk: &Slow) {
    let (writer, disk) = (keeper.thread(mine(), BOUNDS), disk.clone());
    std::thread::spawn(move || writer.run(disk, 0));
}

#[test]
fn while_the_disk_holds_still_only_the_newest_waits_and_nobody_else_does() {
    let (keeper, disk) = (SnapshotWriter::new(Duration::ZERO, FOREVER), Slow::default());
    let still = disk.written.lock().expect("held");
    serve(&keeper, &disk);
    for n in 0..1_000 {
        keeper.put(part("list", &n.to_string()), AsOf::Now).expect("it fits");
    }
    drop(still);
    let last = || disk.written.lock().expect("held").last().map(|bytes| decode(bytes).expect("whole").parts);
    eventually("the newest is written", || last().is_some_and(|parts| parts == [part("list", "999")]));
    assert!(keeper.stats().writes <= 3, "those between are not: {:?}", keeper.stats());
    // The same again is no change; another is written at a stop.
    let (before, told) = (keeper.stats().writes, Arc::new(Mutex::new(0)));
    let telling = told.clone();
    keeper.on_write(move || *telling.lock().expect("held") += 1);
    let same = keeper.put(part("list", "999"), AsOf::Now).expect("it fits");
    assert_eq!(same, 1_000);
    let change = keeper.put(part("board", "b"), AsOf::Now).expect("it fits");
    eventually("it is on the disk", || keeper.durable() == change && *told.lock().expect("held") > 0);
    keeper.stop(Duration::from_secs(30));
    assert_eq!(last().map(|parts| parts.len()), Some(2));
    assert!(keeper.stats().writes <= before + 2, "{:?}", keeper.stats());
}

#[test]
fn a_full_disk_is_counted_at_each_try_and_gets_the_newest_once_there_is_room() {
    let (keeper, disk) = (SnapshotWriter::new(Duration::ZERO, Duration::from_millis(2)), Slow::default());
    *disk.trouble.lock().expect("held") = Some(DiskFault::Full);
    serve(&keeper, &disk);
    eventually("it fails", || keeper.stats().failures >= 3);
    keeper.put(part("list", "kept"), AsOf::Now).expect("it fits");
    assert_eq!((keeper.stats().writes, keeper.stats().fault), (0, Some(DiskFault::Full)));
    *disk.trouble.lock().expect("held") = None;
    eventually("it writes, and goes on writing", || keeper.stats().writes >= 3);
    assert_eq!(keeper.stats().fault, None);
    let last = disk.written.lock().expect("held").last().map(|bytes| decode(bytes).expect("whole"));
    assert_eq!(last.map(|snapshot| snapshot.parts), Some(vec![part("list", "kept")]));
}

fn open(dir: &Path) -> flaxhead_snapshot::OpenedStore {
    StoreOptions { directory: dir.to_owned(), owner: mine(), max_age: FOREVER }.open().expect("a thread")
}

#[test]
fn what_is_kept_is_found_and_stays_until_its_owner_says_more() {
    let dir = tempfile::tempdir().expect("a folder");
    let dir = dir.path().join("made").join("deeper");
    let first = open(&dir);
    assert_eq!(first.recovered, Err(Rejection::Missing));
    first.writer.put(part("list", "hosts"), AsOf::Now).expect("it fits");
    let another = open(&dir);
    assert_eq!(another.recovered, Err(Rejection::InUse), "two processes on one folder");
    eventually("it says so", || another.writer.stats().fault == Some(DiskFault::InUse));
    first.writer.stop(Duration::from_secs(30));
    assert_eq!(another.writer.stats().writes, 0);
    another.writer.stop(Duration::from_secs(30));
    // A process that was killed before it had anything to keep, and while it wrote.
    std::fs::write(dir.join("n0.new"), b"FLAX").expect("written");
    let mut second = open(&dir);
    eventually("its first write", || second.writer.stats().writes > 0);
    second.writer.stop(Duration::from_secs(30));
    let found = second.recovered.as_mut().expect("fresh").take("list", 1).expect("kept");
    assert_eq!(found.bytes, b"hosts");
    let third = open(&dir).recovered.expect("fresh");
    let second = second.recovered.expect("fresh");
    assert_eq!(third.parts()[0].bytes, b"hosts");
    assert!(third.header().incarnation > second.header().incarnation, "each process has a life of its own");
}

#[test]
fn a_folder_that_cannot_be_or_goes_is_tried_again() {
    let dir = tempfile::tempdir().expect("a folder");
    let barred = dir.path().join("barred");
    std::fs::write(&barred, b"no folder").expect("written");
    let old = Duration::from_millis(600);
    let start = |dir: &Path| {
        StoreOptions { directory: dir.to_owned(), owner: mine(), max_age: old }.open().expect("a thread")
    };
    let opened = start(&barred);
    assert!(matches!(opened.recovered, Err(Rejection::Unreadable(_))), "{:?}", opened.recovered);
    eventually("it says so", || opened.writer.stats().fault == Some(DiskFault::NoDirectory));
    std::fs::remove_file(&barred).expect("removed");
    eventually("it is made, once it can be", || file(&barred, "n0").exists());
    // Gone under it: made again, under a lock that others see.
    std::fs::remove_dir_all(&barred).expect("removed");
    eventually("it is made again", || file(&barred, "n0").exists());
    assert_eq!(start(&barred).recovered, Err(Rejection::InUse));
}
