//! A part of the load: a shape, and whose requests it is made of, through which proxies, and when.

use super::shape::{Shape, Unfit};
use serde::Deserialize;

/// A shape with what it is limited to; several add up.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "Keys")]
pub struct Part {
    /// How many requests arrive.
    pub shape: Shape,
    /// The tenant whose requests they are; absent: all, by their shares.
    pub tenant: Option<String>,
    /// Proxies that they go to; none named: all.
    pub proxies: Vec<usize>,
    /// From when to when, in seconds: the shape plays over this time as it would over a run; absent: over the run.
    pub span: Option<(f64, f64)>,
}

impl Part {
    /// Whether it is limited to some of the requests.
    pub fn is_limited(&self) -> bool {
        self.tenant.is_some() || !self.proxies.is_empty()
    }

    /// Requests a second at a moment of a run of so many seconds.
    pub fn rate(&self, at: f64, seconds: f64) -> f64 {
        match self.span {
            None => self.shape.rate(at, seconds),
            Some((from, to)) if (from..to).contains(&at) => self.shape.rate(at - from, to - from),
            Some(_) => 0.0,
        }
    }

    /// Whether it can be sent, through so many proxies and for these tenants.
    pub fn check(&self, proxies: usize, knows: impl Fn(&str) -> bool) -> Result<(), Unfit> {
        self.shape.check()?;
        match (&self.tenant, self.proxies.iter().find(|&&proxy| proxy >= proxies), self.span) {
            (Some(tenant), _, _) if !knows(tenant) => Err(Unfit::NoTenant(tenant.clone())),
            (_, Some(&proxy), _) => Err(Unfit::NoProxy { proxy, last: proxies.saturating_sub(1) }),
            // Written so that what is not a number is refused.
            (_, _, Some((from, to))) if !(from >= 0.0 && to > from && to.is_finite()) => {
                Err(Unfit::NoSpan(from, to))
            }
            _ => Ok(()),
        }
    }
}

/// The names of shapes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Name {
    Steady,
    Ramp,
    #[serde(rename = "the-27th")]
    The27th,
    MonthEnd,
    Burst,
}

/// All keys of a `[[load]]`, of which each shape has its own.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Keys {
    shape: Name,
    rate: Option<f64>,
    from: Option<f64>,
    to: Option<f64>,
    peak: Option<f64>,
    batches: Option<u32>,
    at: Option<f64>,
    #[serde(rename = "for")]
    lasts: Option<f64>,
    tenant: Option<String>,
    #[serde(default)]
    proxies: Vec<usize>,
    span: Option<(f64, f64)>,
}

impl TryFrom<Keys> for Part {
    type Error = Unfit;

    fn try_from(keys: Keys) -> Result<Part, Unfit> {
        let Keys { shape, rate, from, to, peak, batches, at, lasts, tenant, proxies, span } = keys;
        let needs = |key: &'static str, of: Option<f64>| of.ok_or(Unfit::Missing(key));
        let own: &[&str] = match shape {
            Name::Steady => &["rate"],
            Name::Ramp => &["from", "to"],
            Name::The27th => &["rate", "peak"],
            Name::MonthEnd => &["rate", "peak", "batches"],
            Name::Burst => &["rate", "at", "for"],
        };
        let given = [
            ("rate", rate.is_some()),
            ("from", from.is_some()),
            ("to", to.is_some()),
            ("peak", peak.is_some()),
            ("batches", batches.is_some()),
            ("at", at.is_some()),
            ("for", lasts.is_some()),
        ];
        if let Some((key, _)) = given.iter().find(|(key, is)| *is && !own.contains(key)) {
            return Err(Unfit::Foreign(key));
        }
        let shape = match shape {
            Name::Steady => Shape::Steady { rate: needs("rate", rate)? },
            Name::Ramp => Shape::Ramp { from: needs("from", from)?, to: needs("to", to)? },
            Name::The27th => Shape::The27th { rate: needs("rate", rate)?, peak: needs("peak", peak)? },
            Name::MonthEnd => Shape::MonthEnd {
                rate: needs("rate", rate)?,
                peak: needs("peak", peak)?,
                batches: batches.ok_or(Unfit::Missing("batches"))?,
            },
            Name::Burst => {
                Shape::Burst { rate: needs("rate", rate)?, at: needs("at", at)?, lasts: needs("for", lasts)? }
            }
        };
        Ok(Part { shape, tenant, proxies, span })
    }
}
