//! What `[work]` configures.

use super::super::bounds::within;
use super::super::peers::voters;
use super::super::sections::{Problem, Section};
use flaxhead_lease::{Config, Micros};
use flaxhead_maintenance::{Limits, SchedulerConfig};
use flaxhead_maintenance_driver::Settings;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// `host_calls` is configured in calls, and limited in thousandths of a call.
const MILLICALLS_PER_CALL: u32 = 1_000;
/// `margin_percent` is configured in percent, and limited in thousandths.
const PER_MILLE_PER_PERCENT: u32 = 10;

/// Takes the settings from the section. The longest request comes from the configuration.
///
/// # Errors
///
/// What is wrong, with its line.
pub fn read(section: &mut Section) -> Result<Settings, Problem> {
    let voters = voters(section)?;
    let mut config = Config::default();
    let mut scheduler = SchedulerConfig::default();
    let mut time = |key: &str, (min, max): (u64, u64), unit: Micros, to: &mut Micros| {
        let value = section.take_if(key, within(min, max))?;
        *to = value.map_or(*to, |value| value * unit);
        Ok::<_, Problem>(())
    };
    time("lease_ms", (500, 60_000), MILLISECOND, &mut config.lease_duration)?;
    time("drain_s", (1, 86_400), SECOND, &mut scheduler.max_drain_time)?;
    time("forgotten_s", (1, 86_400), SECOND, &mut config.state_loss_timeout)?;
    time("alone_s", (1, 3_600), SECOND, &mut config.autonomy_timeout)?;
    time("known_s", (0, 3_600), SECOND, &mut config.operator_timeout)?;
    time("back_s", (1, 3_600), SECOND, &mut scheduler.max_recovery_time)?;
    time("longest_s", (1, 7 * 86_400), SECOND, &mut scheduler.limits.max_duration)?;
    read_limits(section, &mut scheduler.limits)?;
    Ok(Settings { voters, config, scheduler })
}

fn read_limits(section: &mut Section, limits: &mut Limits) -> Result<(), Problem> {
    let mut number = |key: &str, min: u32, max: u32| section.take_if(key, within(min, max));
    // None at all would forbid every drain: whoever wants that leaves the section out.
    limits.max_total = number("hosts", 1, 1_000)?.unwrap_or(limits.max_total);
    limits.max_per_zone = number("hosts_zone", 1, 1_000)?.unwrap_or(limits.max_per_zone);
    limits.max_per_pod = number("hosts_pod", 1, 1_000)?.unwrap_or(limits.max_per_pod);
    let calls = number("host_calls", 0, 100_000)?.unwrap_or(limits.calls_per_host);
    limits.calls_per_host = calls * MILLICALLS_PER_CALL;
    // A value equal to the default in thousandths counts as not configured.
    let default_margin = limits.load_margin;
    let margin = number("margin_percent", 0, 1_000)?.unwrap_or(default_margin);
    if margin != default_margin {
        limits.load_margin = margin * PER_MILLE_PER_PERCENT;
    }
    Ok(())
}
