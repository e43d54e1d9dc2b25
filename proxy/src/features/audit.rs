//! The audit trail: one JSON line for each change of state, chained by hashes so that a line that is edited,
//! removed or moved shows. A thread writes them; what is noted while its queue is full is counted, and the chain
//! says so.

use super::sections::{named, Problem, Section};
use crate::http::Http;
use crate::output;
use flaxhead_engine::{Note, Observer, View};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The file's name in its folder.
pub const FILE: &str = "audit.jsonl";
/// The `prev` of the first line.
pub const FIRST_PREV: &str = "0000000000000000000000000000000000000000000000000000000000000000";
/// Changes that may wait to be written.
const QUEUE: usize = 1_024;
/// Most characters of a detail: host names come from outside.
const DETAIL_MOST: usize = 400;
/// Longest line that is read; a written one is far shorter.
const LINE_MOST: usize = 16 << 10;
/// Pause after a failure to write, which space that is set free must end.
const RETRY: Duration = Duration::from_millis(500);
/// How long a stop waits for what is still to be written.
const STOP_MOST: Duration = Duration::from_secs(1);

/// What `[audit]` holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The folder of the file; `None`: the lines go to standard error.
    pub dir: Option<PathBuf>,
}

impl Settings {
    /// Takes them from the section.
    pub fn read(section: &mut Section) -> Result<Settings, Problem> {
        let dir = section.take_if("dir", |dir: &PathBuf| named(dir))?;
        Ok(Settings { dir })
    }
}

/// Who brought a change about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Actor {
    /// Whoever runs the program.
    Operator,
    /// The platform it runs on.
    Platform,
}

/// A change of state.
#[derive(Clone, Debug)]
struct Change {
    ts_ms: u64,
    event: &'static str,
    actor: Actor,
    detail: String,
}

impl Change {
    fn new(event: &'static str, actor: Actor, detail: &str) -> Change {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let detail = detail.chars().take(DETAIL_MOST).collect();
        Change { ts_ms: unix.as_millis() as u64, event, actor, detail }
    }
}

/// The canonical line: what is hashed behind `prev`, its keys in this order.
#[derive(Serialize)]
struct Canonical<'a> {
    seq: u64,
    ts_ms: u64,
    event: &'a str,
    actor: Actor,
    detail: &'a str,
    prev: &'a str,
}

/// A line as the file has it: the canonical one and its hash.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    seq: u64,
    ts_ms: u64,
    event: String,
    actor: Actor,
    detail: String,
    prev: String,
    hash: String,
}

impl Line {
    fn new(seq: u64, prev: &str, change: &Change) -> Line {
        let Change { ts_ms, event, actor, detail } = change.clone();
        let (event, prev) = (event.to_owned(), prev.to_owned());
        let mut line = Line { seq, ts_ms, event, actor, detail, prev, hash: String::new() };
        line.hash = line.hashed();
        line
    }

    fn hashed(&self) -> String {
        let Line { seq, ts_ms, event, actor, detail, prev, .. } = self;
        let (seq, ts_ms, actor) = (*seq, *ts_ms, *actor);
        let mut hash = Sha256::new_with_prefix(prev);
        hash.update(text(&Canonical { seq, ts_ms, event, actor, detail, prev }));
        hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// Numbers and strings can always be written as JSON.
fn text(line: &impl Serialize) -> String {
    serde_json::to_string(line).unwrap_or_default()
}

/// Where the chain stands: the next line's number, and the hash before it.
#[derive(Clone, Debug, PartialEq)]
struct Chain {
    seq: u64,
    prev: String,
}

impl Chain {
    fn first() -> Chain {
        Chain { seq: 1, prev: FIRST_PREV.to_owned() }
    }

    fn link(&mut self, change: &Change) -> String {
        let line = Line::new(self.seq, &self.prev, change);
        let text = text(&line) + "\n";
        (self.seq, self.prev) = (line.seq + 1, line.hash);
        text
    }

    /// Takes the next line, or says what is wrong with it.
    fn follow(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        let line: Line = serde_json::from_slice(bytes).map_err(|_| "it is no line of an audit trail")?;
        if line.seq != self.seq {
            return Err("another line stands in its place");
        }
        if line.prev != self.prev {
            return Err("its prev is not the hash before it");
        }
        if line.hash != line.hashed() || text(&line).as_bytes() != bytes {
            return Err("its text is not what its hash was made of");
        }
        (self.seq, self.prev) = (line.seq + 1, line.hash);
        Ok(())
    }
}

/// What became of a check.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// So many lines, and all of them in order.
    Whole(u64),
    /// The first line that is not as it was written, by the `seq` that belongs there.
    Broken {
        /// Its number.
        seq: u64,
        /// What is wrong.
        reason: &'static str,
    },
}

/// Checks a trail from its first line on, or one that begins mid-chain behind the line with the hash `from`.
pub fn verify(mut trail: impl BufRead, from: Option<&str>) -> io::Result<Verdict> {
    let mut chain = Chain::first();
    let (mut lines, mut bytes) = (0, Vec::new());
    loop {
        bytes.clear();
        (&mut trail).take(LINE_MOST as u64).read_until(b'\n', &mut bytes)?;
        if bytes.is_empty() {
            return Ok(Verdict::Whole(lines));
        }
        if let Some(from) = from.filter(|_| lines == 0) {
            // Which number comes first there, only the line itself can tell.
            let seq = serde_json::from_slice(&bytes).map_or(1, |line: Line| line.seq);
            chain = Chain { seq, prev: from.to_owned() };
        }
        let Some(line) = bytes.strip_suffix(b"\n") else {
            return Ok(Verdict::Broken { seq: chain.seq, reason: "the last line is cut off" });
        };
        if let Err(reason) = chain.follow(line) {
            let seq = chain.seq;
            let reason = match serde_json::from_slice::<Line>(line) {
                Ok(line) if lines == 0 && from.is_none() && line.seq > 1 => {
                    "the file begins mid-chain; --from-hash names the hash before it"
                }
                _ => reason,
            };
            return Ok(Verdict::Broken { seq, reason });
        }
        lines += 1;
    }
}

enum Job {
    Change(Change),
    /// Tells when all before it is written.
    Mark(oneshot::Sender<()>),
}

/// The way to the thread that writes the trail.
#[derive(Clone, Debug)]
pub struct Trail {
    jobs: mpsc::Sender<Job>,
    lost: Arc<AtomicU64>,
}

impl Trail {
    /// Descriptors that it needs at the most.
    pub const DESCRIPTORS: usize = 1;

    /// Opens the trail, where it was left if there is one, and starts its thread.
    pub fn open(settings: &Settings) -> Result<Trail, String> {
        let (mut sink, mut chain, torn) = match &settings.dir {
            None => (Sink::Output, Chain::first(), None),
            Some(dir) => {
                let path = dir.join(FILE);
                let open = || {
                    fs::create_dir_all(dir).map_err(|e| e.to_string())?;
                    resume(&path)
                };
                open().map_err(|e| format!("[audit] {}: {e}", path.display()))?
            }
        };
        let (jobs, queued) = mpsc::channel(QUEUE);
        let trail = Trail { jobs, lost: Arc::default() };
        let lost = trail.lost.clone();
        let record = move || record(queued, &lost, |change| sink.append(&chain.link(change)));
        thread::Builder::new().name("audit".to_owned()).spawn(record).map_err(|e| format!("[audit] {e}"))?;
        if let Some(torn) = torn {
            trail.note("torn", Actor::Operator, &format!("a torn last line was taken out: {torn}"));
        }
        Ok(trail)
    }

    /// Notes a change; never waits.
    pub fn note(&self, event: &'static str, actor: Actor, detail: &str) {
        if self.jobs.try_send(Job::Change(Change::new(event, actor, detail))).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Notes the stop and waits until all is written, unless it cannot be.
    pub async fn close(&self) {
        let stop = Change::new("stop", Actor::Operator, "all that was taken is answered");
        let (done, written) = oneshot::channel();
        let all = async {
            // Without its thread there is nothing to wait for.
            if self.jobs.send(Job::Change(stop)).await.is_ok()
                && self.jobs.send(Job::Mark(done)).await.is_ok()
            {
                let _ = written.await;
            }
        };
        if timeout(STOP_MOST, all).await.is_err() {
            tracing::info!("audit: the trail could not be written to its end");
        }
    }
}

impl Observer<Http> for Trail {
    fn observe(&mut self, note: &Note<'_, Http>, _: &View<'_, Http>) {
        if let Note::Switched { host, health, .. } = note {
            self.note("health", Actor::Platform, &format!("{host} {health:?}"));
        }
    }
}

/// Writes changes down until nobody notes any. Numbers and hashes are given only here, so that what was lost on
/// the way leaves no hole in the chain.
fn record(mut queued: mpsc::Receiver<Job>, lost: &AtomicU64, mut write: impl FnMut(&Change)) {
    while let Some(job) = queued.blocking_recv() {
        match job {
            Job::Change(change) => write(&change),
            // Whoever waited may have gone.
            Job::Mark(done) => drop(done.send(())),
        }
        let lost = lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let detail = format!("{lost} changes came while the queue was full and are not recorded");
            write(&Change::new("lost", Actor::Operator, &detail));
        }
    }
}

/// Where the lines go.
enum Sink {
    Output,
    /// The file, and its length behind the last whole line.
    File(File, u64),
}

impl Sink {
    /// Writes a line whole, however long that takes.
    fn append(&mut self, line: &str) {
        let Sink::File(file, length) = self else { return output::put_and_wait(line.to_owned()) };
        let mut failed = false;
        while let Err(error) = file.write_all(line.as_bytes()).and_then(|()| file.sync_data()) {
            if !failed {
                tracing::info!("audit: {error}");
            }
            failed = true;
            // A part of the line may stand there. If it cannot be taken back now, it can at the next start.
            let _ = file.set_len(*length);
            thread::sleep(RETRY);
        }
        *length += line.len() as u64;
    }
}

/// Opens a trail to go on behind its last whole line; a part of one that stands behind that is taken out and returned.
fn resume(path: &Path) -> Result<(Sink, Chain, Option<String>), String> {
    let mut file =
        OpenOptions::new().create(true).read(true).append(true).open(path).map_err(|e| e.to_string())?;
    file.try_lock().map_err(|e| format!("another process writes to it ({e})"))?;
    let length = file.metadata().map_err(|e| e.to_string())?.len();
    let start = length.saturating_sub(2 * LINE_MOST as u64);
    let mut tail = Vec::new();
    file.seek(SeekFrom::Start(start)).map_err(|e| e.to_string())?;
    (&mut file).take(length - start).read_to_end(&mut tail).map_err(|e| e.to_string())?;
    let whole = tail.iter().rposition(|&byte| byte == b'\n').map_or(0, |end| end + 1);
    let (lines, torn) = tail.split_at(whole);
    let chain = match lines.split(|&byte| byte == b'\n').rev().nth(1) {
        None if start > 0 => return Err("it ends in a line that is too long".to_owned()),
        None => Chain::first(),
        Some(last) => {
            let line: Line =
                serde_json::from_slice(last).map_err(|e| format!("its last line is no line of ours: {e}"))?;
            let mut chain = Chain { seq: line.seq, prev: line.prev };
            chain
                .follow(last)
                .map_err(|reason| format!("its last line is not as it was written: {reason}"))?;
            chain
        }
    };
    let length = start + whole as u64;
    if torn.is_empty() {
        return Ok((Sink::File(file, length), chain, None));
    }
    let mut last = chain.clone();
    if last.follow(torn).is_ok() {
        // Only its end of line is missing.
        file.write_all(b"\n").map_err(|e| e.to_string())?;
        return Ok((Sink::File(file, length + torn.len() as u64 + 1), last, None));
    }
    file.set_len(length).map_err(|e| e.to_string())?;
    let torn = String::from_utf8_lossy(torn).into_owned();
    Ok((Sink::File(file, length), chain, Some(torn)))
}

#[cfg(test)]
mod tests {
    use super::*;

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
            canonical.starts_with("{\"seq\":1,\"ts_ms\":")
                && canonical.ends_with(&format!("{FIRST_PREV}\"}}"))
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
}
