//! What operators are shown of the tenants at this proxy.

use super::lines::Lines;
use flaxhead_coordination::Coordinator;
use flaxhead_quota::{gate, Book, Seat, Shares as SharesApplication, Units, View};
use html_escape::encode_safe;
use serde::Serialize;
use std::fmt::Write;

/// A tenant at this proxy. Units are calls in hand, a second copy being one more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TenantRow {
    /// Its name; `others`: calls of no tenant, or of an unknown one.
    pub tenant: String,
    /// Calls in hand that all proxies together may have of it; `None`: any number.
    pub cap: Option<u32>,
    /// Of them, what this proxy has without anybody.
    pub own: Option<u32>,
    /// Of them, what this proxy was granted beside that.
    pub granted: Option<u32>,
    /// Its fair share here of what the hosts can carry; `None`: not settled.
    pub share: Option<u32>,
    /// Units in hand here.
    pub in_hand: u32,
    /// Of its fair share, what others use now.
    pub lent: u32,
    /// Calls that wait here.
    pub waiting: u32,
    /// Calls let in since the start.
    pub entered: u64,
    /// Calls turned away since the start.
    pub refused: u64,
    /// Second copies that were denied a unit since the start.
    pub denied: u64,
    /// Why calls wait or are turned away now; empty: they are not.
    pub why: String,
}

/// All that is shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Shown {
    /// In the order of the settings, the calls of no tenant last.
    pub tenants: Vec<TenantRow>,
    /// Units of all tenants that may be in hand here; `None`: nothing is settled, and caps alone bind.
    pub all: Option<u32>,
    /// Whether this proxy goes by its own parts.
    pub seat: Seat,
    /// Who grants, as far as is known.
    pub granted_by: Option<String>,
    /// At the proxy that grants: the whole fleet.
    pub fleet: Option<View>,
}

impl Shown {
    pub(super) fn new(
        book: &Book,
        lines: &Lines,
        coordinator: Option<&Coordinator<SharesApplication>>,
    ) -> Shown {
        let (seat, granted_by, fleet) = coordinator.map_or((Seat::Has, None, None), |coordinator| {
            coordinator.with_machine(|machine, now| {
                let view = machine.leader_data(now).map(|ledger| ledger.view(now));
                (machine.application().seat(), machine.status(now).leader, view)
            })
        });
        let (gates, allowance) = lines.shown();
        let now = lines.now();
        let all = allowance.all(now);
        let in_hand: u32 = gates.iter().map(|gate| gate.in_hand).sum();
        let full = all.is_some_and(|all| in_hand >= all);
        let rows = book.tenants.iter().zip(gates).enumerate().map(|(place, (tenant, gate))| {
            let Units { own, share, .. } = allowance.tenants.get(place).copied().unwrap_or_default();
            let may = allowance.cap(now, place);
            let gate::Shown { in_hand, waiting, entered, refused, denied } = gate;
            let why = match may {
                Some(0) if seat == Seat::Waits => "it waits for a seat".to_owned(),
                Some(0) => "no seat: more proxies run than proxies_most".to_owned(),
                Some(may) if in_hand >= may => format!("its cap leaves it {may} here"),
                _ if full => "the hosts can carry no more".to_owned(),
                _ => String::new(),
            };
            TenantRow {
                tenant: tenant.name.clone(),
                cap: tenant.cap,
                own,
                granted: may.zip(own).map(|(may, own)| may.saturating_sub(own)),
                share: all.map(|_| share),
                in_hand,
                // Others have it only where all that may be in hand is.
                lent: if full { share.saturating_sub(in_hand) } else { 0 },
                waiting,
                entered,
                refused,
                denied,
                why,
            }
        });
        Shown { tenants: rows.collect(), all, seat, granted_by, fleet }
    }

    /// The table of the status page.
    pub fn html(&self) -> String {
        let heads =
            ["tenant", "cap", "own", "granted", "share", "in hand", "lent", "waiting", "refused", "why"];
        let heads: String = heads.iter().map(|head| format!("<th>{head}</th>")).collect();
        let mut page = format!("<table><tr>{heads}</tr>\n");
        let shown = |units: Option<u32>| units.map_or_else(|| "-".to_owned(), |units| units.to_string());
        for row in &self.tenants {
            let (tenant, why) = (encode_safe(&row.tenant), encode_safe(&row.why));
            let TenantRow { in_hand, lent, waiting, refused, .. } = row;
            let [cap, own, granted, share] = [row.cap, row.own, row.granted, row.share].map(shown);
            // Writing to a string cannot fail.
            let _ = writeln!(
                page,
                "<tr><td>{tenant}</td><td>{cap}</td><td>{own}</td><td>{granted}</td><td>{share}</td><td>{in_hand}</td>\
                 <td>{lent}</td><td>{waiting}</td><td>{refused}</td><td>{why}</td></tr>"
            );
        }
        page += "</table>\n";
        if let Some(by) = &self.granted_by {
            let _ = writeln!(page, "<p>Granted by {}</p>", encode_safe(by));
        }
        if let Some(fleet) = &self.fleet {
            page += &whole(fleet);
        }
        page
    }
}

/// The whole fleet, as the proxy that grants knows it.
fn whole(fleet: &View) -> String {
    let heads = ["tenant", "cap", "share", "granted", "in hand", "lent", "waiting", "refused", "held by"];
    let heads: String = heads.iter().map(|head| format!("<th>{head}</th>")).collect();
    let mut page = format!("<h2>All proxies</h2>\n<table><tr>{heads}</tr>\n");
    let shown = |units: Option<u32>| units.map_or_else(|| "-".to_owned(), |units| units.to_string());
    for row in &fleet.tenants {
        let by =
            row.held_by.iter().map(|by| format!("{} {}", by.name, by.granted)).collect::<Vec<_>>().join(", ");
        let flaxhead_quota::TenantRow { granted, in_hand, lent, waiting, refused, .. } = row;
        let _ = writeln!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{granted}</td><td>{in_hand}</td><td>{lent}</td><td>{waiting}</td>\
             <td>{refused}</td><td>{}</td></tr>",
            encode_safe(&row.name), shown(row.cap), shown(row.share), encode_safe(&by)
        );
    }
    page += "</table>\n";
    for why in &fleet.why {
        let _ = writeln!(page, "<p>{}</p>", encode_safe(why));
    }
    page
}

#[cfg(test)]
mod tests;
