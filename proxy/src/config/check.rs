//! Settings that can be read and cannot work: the key, what is wrong with it and what to set.

use super::Config;
use std::collections::HashSet;
use std::time::Duration;

/// A setting with which no request could be served.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("settings.{key}: {reason}; {remedy}")]
pub struct Unworkable {
    /// Where it stands below `settings`.
    pub key: String,
    /// What is wrong with it.
    pub reason: &'static str,
    /// What an operator can do.
    pub remedy: &'static str,
}

fn refuse(key: impl Into<String>, reason: &'static str, remedy: &'static str) -> Result<(), Unworkable> {
    Err(Unworkable { key: key.into(), reason, remedy })
}

impl Config {
    /// Finds the first setting that cannot work.
    pub(super) fn check(&self) -> Result<(), Unworkable> {
        self.check_fleet()?;
        self.check_classes()?;
        self.check_names()?;
        self.check_connections()
    }

    fn check_fleet(&self) -> Result<(), Unworkable> {
        let cold = self.settings.safety.slow_start_ratio;
        if self.settings.balancer_count == 0 {
            return refuse("balancers", "0 proxies", "set it to the number of proxies of this tier");
        }
        if self.settings.limits.max_attempts == 0 {
            return refuse("limits.max_attempts", "no attempt is allowed", "set it to 1 or more");
        }
        if !(0.0..=1.0).contains(&cold) {
            return refuse(
                "invariants.cold_from",
                "it is no share of a host's capacity",
                "set it between 0 and 1",
            );
        }
        Ok(())
    }

    fn check_classes(&self) -> Result<(), Unworkable> {
        if self.classes.is_empty() {
            return refuse("classes", "there is none", "name at least one class of requests");
        }
        for (number, class) in self.settings.classes.iter().enumerate() {
            if class.deadline == 0 {
                return refuse(
                    format!("classes[{number}].deadline_us"),
                    "no request of this class could be answered",
                    "set it to the longest that its clients wait, in microseconds",
                );
            }
        }
        Ok(())
    }

    /// Names are all that tells requests apart: a second one of a name would never be met.
    fn check_names(&self) -> Result<(), Unworkable> {
        for (list, names) in [("classes", &self.classes), ("tenants", &self.tenants)] {
            let mut seen = HashSet::new();
            if let Some(number) = names.iter().position(|name| !seen.insert(name)) {
                let key = format!("{list}[{number}].name");
                return refuse(key, "an earlier one has this name", "give each a name of its own");
            }
        }
        Ok(())
    }

    fn check_connections(&self) -> Result<(), Unworkable> {
        if self.connect_timeout == Duration::ZERO {
            return refuse(
                "limits.connect_timeout_us",
                "no connection to a host could come up",
                "set it to the time that a connection may take, in microseconds",
            );
        }
        Ok(())
    }
}
