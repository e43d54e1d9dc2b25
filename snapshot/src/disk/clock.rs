//! The machine's clocks.

use crate::snapshot::Moment;
use rustix::time::{clock_gettime, ClockId};
use std::fs;
use std::time::{SystemTime, UNIX_EPOCH};

/// This moment. A clock that cannot be read is left out.
pub fn now() -> Moment {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let up = clock_gettime(ClockId::Boottime);
    let up_ms =
        u64::try_from(up.tv_sec).unwrap_or(0) * 1_000 + u64::try_from(up.tv_nsec).unwrap_or(0) / 1_000_000;
    let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let boot = u128::from_str_radix(&boot.trim().replace('-', ""), 16).unwrap_or(0);
    Moment { wall_ms: wall.as_millis() as u64, up_ms, boot }
}
