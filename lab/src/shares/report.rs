//! What came of the shares, in words.

use super::judge::{Part, ShareFigures, TenantFigures};

/// A line for each tenant and each window.
pub fn lines(of: &ShareFigures) -> Vec<String> {
    let tenant = |t: &TenantFigures| {
        let cap = t.cap.map_or("none".to_owned(), |cap| cap.to_string());
        format!(
            "tenant {}: cap {cap}, at the most {} in hand ({} beyond doubt), {} times above, asked {}, got {}, longest without \
             {:.1} s",
            t.name, t.most, t.most_surely, t.over.len(), t.asked, t.got, t.longest_without_s
        )
    };
    let tenants = of.tenants.iter().map(tenant);
    let windows = of.windows.iter().map(|window| {
        let part = |part: &Part| {
            let of = match part.wanted > 0.0 {
                true => format!(" of {:.1}", part.wanted),
                false => String::new(),
            };
            let Part { name, asked, got, fair, in_hand, due, usual, .. } = part;
            format!("{name} asked {asked} got {got} fair {fair:.1} in hand {in_hand:.2}{of} due {due:.2} ({usual:.2})")
        };
        let parts = window.tenants.iter().map(part);
        format!(
            "{:.1} to {:.1} s, use of capacity {:.2}: {}",
            window.from_s,
            window.to_s,
            window.used,
            parts.collect::<Vec<_>>().join("; ")
        )
    });
    tenants.chain(windows).collect()
}
