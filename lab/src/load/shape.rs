//! Shapes of load: how many requests a second arrive at each moment.

use std::f64::consts::PI;

/// Why a part of the load cannot be sent.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    /// A figure is not.
    #[error("{0}: figures of a shape are at least 0")]
    Figure(f64),
    /// A key is absent.
    #[error("missing field `{0}`")]
    Missing(&'static str),
    /// A key of another shape.
    #[error("this shape has no `{0}`")]
    Foreign(&'static str),
    /// A tenant that is not.
    #[error("there is no tenant {0}: name one of [[tenant]]")]
    NoTenant(String),
    /// A proxy that is not.
    #[error("there is no proxy {proxy}, only 0 to {last}")]
    NoProxy {
        /// Which.
        proxy: usize,
        /// The last that there is.
        last: usize,
    },
    /// A time that is none.
    #[error("span = [{0}, {1}]: from 0 on, and the end after the beginning, in seconds")]
    NoSpan(f64, f64),
}

/// A shape, by its requests a second over the part of the run that has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// The same all the time.
    Steady {
        /// Requests a second.
        rate: f64,
    },
    /// From one rate to another, evenly.
    Ramp {
        /// At the start.
        from: f64,
        /// At the end.
        to: f64,
    },
    /// The day salaries arrive: quiet, then within a twentieth of the run up to the peak, held for a while, and a
    /// long way down with a second, lower rise.
    The27th {
        /// Before and after.
        rate: f64,
        /// At the peak.
        peak: f64,
    },
    /// Month end: batches at even distances, each a steep rise and a slow fall.
    MonthEnd {
        /// Between them.
        rate: f64,
        /// At the top of each.
        peak: f64,
        /// How many.
        batches: u32,
    },
    /// One rectangle.
    Burst {
        /// Requests a second while it lasts.
        rate: f64,
        /// When it begins, in seconds.
        at: f64,
        /// How long it lasts, in seconds.
        lasts: f64,
    },
}

impl Shape {
    /// Requests a second at a moment of a run of so many seconds.
    pub fn rate(&self, at: f64, seconds: f64) -> f64 {
        let part = (at / seconds).clamp(0.0, 1.0);
        match *self {
            Shape::Steady { rate } => rate,
            Shape::Ramp { from, to } => from + (to - from) * part,
            Shape::The27th { rate, peak } => {
                let height = match part {
                    p if p < 0.2 => 0.0,
                    p if p < 0.25 => (p - 0.2) / 0.05,
                    p if p < 0.45 => 1.0,
                    p => {
                        let down = (1.0 - (p - 0.45) / 0.35).max(0.0);
                        let second = 0.4 * (PI * ((p - 0.6) / 0.3).clamp(0.0, 1.0)).sin();
                        down.max(second)
                    }
                };
                rate + (peak - rate) * height
            }
            Shape::MonthEnd { rate, peak, batches } => {
                let within = (part * f64::from(batches.max(1))).fract();
                rate + (peak - rate) * if within < 0.1 { within / 0.1 } else { (-(within - 0.1) / 0.2).exp() }
            }
            Shape::Burst { rate, at: from, lasts } => {
                if (from..from + lasts).contains(&at) {
                    rate
                } else {
                    0.0
                }
            }
        }
    }

    /// The most it ever reaches.
    pub fn peak(&self) -> f64 {
        match *self {
            Shape::Steady { rate } | Shape::Burst { rate, .. } => rate,
            Shape::Ramp { from, to } => from.max(to),
            Shape::The27th { rate, peak } | Shape::MonthEnd { rate, peak, .. } => rate.max(peak),
        }
    }

    /// Whether it can be sent.
    pub(super) fn check(&self) -> Result<(), Unfit> {
        let figures = match *self {
            Shape::Steady { rate } => vec![rate],
            Shape::Ramp { from, to } => vec![from, to],
            Shape::The27th { rate, peak } => vec![rate, peak],
            Shape::MonthEnd { rate, peak, batches } => vec![rate, peak, f64::from(batches)],
            Shape::Burst { rate, at, lasts } => vec![rate, at, lasts],
        };
        match figures.iter().find(|f| !f.is_finite() || **f < 0.0) {
            Some(figure) => Err(Unfit::Figure(*figure)),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
