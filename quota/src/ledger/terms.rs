//! What holds where settings differ between processes: the lower cap.

use crate::book::{Book, Tenant};
use crate::word::Deal;

/// By tenant of the holder's book.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Cap {
    /// The lowest.
    cap: Option<u32>,
    /// The least own part; where there is no cap, any number.
    own: u32,
}

/// The terms that hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Agreed {
    caps: Vec<Cap>,
    most: u32,
    least: u32,
}

impl Agreed {
    pub fn new(book: &Book) -> Agreed {
        let mut agreed = Agreed { caps: Vec::new(), most: 0, least: 0 };
        agreed.gather(book, []);
        agreed
    }

    /// From the holder's book and all others.
    pub fn gather<'a>(&mut self, book: &Book, deals: impl IntoIterator<Item = &'a Deal>) {
        let own = |tenant: &Tenant| tenant.cap.map_or(u32::MAX, |_| tenant.own);
        self.caps = book.tenants.iter().map(|t| Cap { cap: t.cap, own: own(t) }).collect();
        (self.most, self.least) = (book.proxies_most, book.proxies_most);
        for deal in deals {
            self.most = self.most.max(deal.proxies_most);
            self.least = self.least.min(deal.proxies_most.max(1));
            for theirs in &deal.tenants {
                let place = book.tenants.iter().position(|tenant| tenant.name == theirs.name);
                if let Some(cap) = place.and_then(|place| self.caps.get_mut(place)) {
                    cap.cap = cap.cap.into_iter().chain(theirs.cap).min();
                    cap.own = cap.own.min(own(theirs));
                }
            }
        }
    }

    /// Seats that there are.
    pub fn proxies_least(&self) -> u32 {
        self.least
    }

    pub fn cap(&self, tenant: usize) -> Option<u32> {
        self.caps.get(tenant)?.cap
    }

    /// The part of each process's own; 0 where there is no cap, as nothing is counted there.
    pub fn own(&self, tenant: usize) -> u32 {
        self.caps.get(tenant).filter(|cap| cap.cap.is_some()).map_or(0, |cap| cap.own)
    }

    /// What is left of a cap beside all own parts; `None`: there is no cap.
    pub fn pool(&self, tenant: usize) -> Option<u32> {
        Some(self.cap(tenant)?.saturating_sub(self.own(tenant).saturating_mul(self.most)))
    }

    /// Own parts that are less than by a process's own settings, by its order of tenants.
    pub fn lowered(&self, book: &Book, deal: Option<&Deal>) -> Vec<(u16, u32)> {
        let theirs = deal.map_or(&book.tenants, |deal| &deal.tenants);
        let lower = |(at, tenant): (usize, &Tenant)| {
            let place = book.tenants.iter().position(|own| own.name == tenant.name)?;
            let (cap, own) = (self.cap(place), self.own(place));
            let lower = cap.is_some() && (tenant.cap.is_none() || own < tenant.own);
            lower.then_some((u16::try_from(at).ok()?, own))
        };
        theirs.iter().enumerate().filter_map(lower).collect()
    }
}
