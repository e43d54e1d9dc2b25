//! What a running process uses, as the system counts it.

use std::fs;
use std::process::Child;

/// Clock ticks in a second, the unit of processor time in `/proc`.
pub const TICKS_PER_SECOND: u64 = 100;

/// A size in a process's status; `None`: it has ended, and has none any more.
fn status(child: &Child, key: &str) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).expect("a child of this process");
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    let kilobytes = line.trim_start_matches(':').trim().split(' ').next().expect("a number");
    Some(kilobytes.parse::<usize>().expect("a number") << 10)
}

/// Most bytes of memory that were resident at once; `None`: the process has just ended.
pub fn peak_resident_bytes(child: &Child) -> Option<usize> {
    status(child, "VmHWM")
}

/// Bytes of memory that are resident.
pub fn resident_bytes(child: &Child) -> usize {
    status(child, "VmRSS").expect("a running process")
}

/// Processor time that a process has used, in ticks.
pub fn processor_ticks(child: &Child) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).expect("a running process");
    let fields: Vec<&str> = stat.rsplit(") ").next().expect("fields").split(' ').collect();
    fields[11].parse::<u64>().expect("user time") + fields[12].parse::<u64>().expect("system time")
}

/// Descriptors that a process has open.
pub fn descriptors(child: &Child) -> usize {
    fs::read_dir(format!("/proc/{}/fd", child.id())).expect("a running process").count()
}
