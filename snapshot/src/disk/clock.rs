//! The machine's clocks.

use crate::snapshot::ClockReading;
use rustix::time::{clock_gettime, ClockId};
use std::fs;
use std::time::{SystemTime, UNIX_EPOCH};

/// Where Linux names the boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// Reads the clocks. One that cannot be read counts as 0.
pub fn now() -> ClockReading {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let up = clock_gettime(ClockId::Boottime);
    let up_seconds = u64::try_from(up.tv_sec).unwrap_or(0);
    let up_nanos = u64::try_from(up.tv_nsec).unwrap_or(0);
    let boot = fs::read_to_string(BOOT_ID).unwrap_or_default();
    ClockReading {
        wall_ms: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
        up_ms: up_seconds * 1_000 + up_nanos / 1_000_000,
        boot: u128::from_str_radix(&boot.trim().replace('-', ""), 16).unwrap_or(0),
    }
}
