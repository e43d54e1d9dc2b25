//! A run's figures as one HTML page with its plots in it; it needs no network.

use crate::figures::Figures;
use crate::pace::Stampede;
use html_escape::encode_text;
use plotters::prelude::*;
use std::error::Error;
use std::fmt::Write;

type Drawn = Result<String, Box<dyn Error>>;

const SIZE: (u32, u32) = (860, 300);

/// The page.
pub fn page(figures: &Figures) -> Result<String, Box<dyn Error>> {
    let mut page = String::from(HEAD);
    let verdict = &figures.verdict;
    let (class, word) = match verdict.exit_code() {
        0 => ("good", "passed"),
        3 => ("void", "void"),
        _ => ("bad", "failed"),
    };
    write!(
        page,
        "<h1>{} <small>seed {}</small></h1><p class=\"{class}\">{word}</p>",
        encode_text(&figures.name),
        figures.seed
    )?;
    let reasons = verdict.void.iter().chain(&verdict.unheld).chain(&verdict.breaches);
    let reasons: String = reasons.map(|reason| format!("<li>{}</li>", encode_text(reason))).collect();
    write!(page, "<ul>{reasons}</ul><pre>{}</pre>", encode_text(&text(figures)))?;
    for (title, plot) in [
        ("Service over time, faults shaded", service(figures)?),
        ("Latency from the intended time, by percentile", latency(figures)?),
        ("Attempts a request", bars(&spread(figures), "attempts", "requests")?),
        ("Load of each node, as a share of what it can do warm", bars(&loads(figures), "node", "load")?),
    ] {
        write!(page, "<h2>{title}</h2>{plot}")?;
    }
    Ok(page + "</body></html>\n")
}

const HEAD: &str = "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>flaxhead-lab</title><style>\
body{font:15px/1.4 sans-serif;margin:2em auto;max-width:60em;padding:0 1em}small{color:#666}\
pre{overflow-x:auto}.good{color:#176b2c}.bad,.void{color:#a11}svg{max-width:100%;height:auto}</style></head><body>";

/// The figures in words, a line each.
pub fn text(figures: &Figures) -> String {
    let mut lines = vec![
        format!(
            "requests {}  service {:.4}  worst ten seconds {:.4}  attempts a request {:.3}  ran twice {}",
            figures.requests, figures.service, figures.worst_ten_seconds, figures.attempts, figures.ran_twice
        ),
        format!(
            "{:<16} {:>8} {:>8} {:>8} {:>6} {:>8} {:>7} {:>9} {:>9} {:>9} {:>9}",
            "class",
            "requests",
            "service",
            "in time",
            "late",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms"
        ),
    ];
    lines.extend(figures.classes.iter().map(|c| {
        format!(
            "{:<16} {:>8} {:>8.4} {:>8} {:>6} {:>8} {:>7} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
            c.name,
            c.requests,
            c.service,
            c.served,
            c.late,
            c.refused,
            c.failed,
            c.latency.p50,
            c.latency.p99,
            c.latency.p999,
            c.latency.max
        )
    }));
    let late = figures.lateness;
    lines.push(format!(
        "sender's own lateness: p50 {:.3} ms  p99 {:.3} ms  max {:.3} ms",
        late.p50, late.p99, late.max
    ));
    for (number, usage) in figures.proxies.iter().enumerate() {
        lines.push(format!(
            "proxy {number}: {:.2} s of CPU, {:.1} MB at the most",
            usage.cpu_s, usage.peak_mb
        ));
    }
    lines.extend(figures.turns.iter().map(|turns| {
        let free = turns.turns.iter().filter(|told| told.free.is_some()).count();
        let (p50, p99) = turns.free_after_ms;
        format!(
            "turns: {free} of {} told free, after {p50:.0} ms (p50) and {p99:.0} ms (p99), {} out at once, {} requests sent \
             after that, handed out under {}",
            turns.turns.len(),
            turns.out_at_once,
            turns.sent_after_free,
            turns.fences.join(", ")
        )
    }));
    lines.extend(figures.peers.iter().map(|peers| {
        let agreed = peers.agreed_after_s.map_or("never".to_owned(), |s| format!("{s:.1} s after the load"));
        let (mistaken, cut_off, looks) = (peers.mistaken.len(), &peers.cut_off, peers.looks);
        format!(
            "peers: one view {agreed}, {mistaken} taken for gone in error, cut off {cut_off:?}, {looks} looks"
        )
    }));
    lines.extend(figures.back.iter().map(|back| {
        let after = back.after_ms.map_or("not within the run".to_owned(), |ms| format!("after {ms:.0} ms"));
        let seconds: Vec<String> = back.seconds.iter().map(|share| format!("{share:.2}")).collect();
        format!(
            "back: full service {after} from {:.1} s, worst second {:.2}, seconds {}",
            back.from_s,
            back.worst_second,
            seconds.join(" ")
        )
    }));
    if !figures.stampede.is_empty() {
        let one = |of: &Stampede| {
            format!("{} {} of {} from {:.0} ms ({:.1})", of.kind, of.peak, of.count, of.from_ms, of.over_mean)
        };
        let all: Vec<String> = figures.stampede.iter().map(one).collect();
        lines.push(format!(
            "after the last restart, fullest tenth of the fullest second (over its mean): {}",
            all.join(", ")
        ));
    }
    lines.extend(figures.shares.iter().flat_map(crate::shares::report::lines));
    lines.extend(figures.troubles.iter().map(|(at, until, what)| match until {
        Some(until) => format!("{at:.1} to {until:.1} s: {what}"),
        None => format!("from {at:.1} s: {what}"),
    }));
    lines.join("\n")
}

/// Two runs' figures beside each other.
pub fn compare(a: &Figures, b: &Figures) -> String {
    let rows = [
        ("requests", a.requests as f64, b.requests as f64),
        ("service", a.service, b.service),
        ("worst ten seconds", a.worst_ten_seconds, b.worst_ten_seconds),
        ("attempts a request", a.attempts, b.attempts),
        ("ran twice", a.ran_twice as f64, b.ran_twice as f64),
        ("breaches", a.verdict.breaches.len() as f64, b.verdict.breaches.len() as f64),
        ("p50 ms", a.latency.p50, b.latency.p50),
        ("p99 ms", a.latency.p99, b.latency.p99),
        ("p99.9 ms", a.latency.p999, b.latency.p999),
        ("slowest ms", a.latency.max, b.latency.max),
        ("sender's p99 lateness ms", a.lateness.p99, b.lateness.p99),
        ("CPU s", cpu(a), cpu(b)),
    ];
    let mut lines = vec![format!("{:<26} {:>14} {:>14} {:>9}", "", a.name, b.name, "ratio")];
    lines.extend(rows.iter().map(|(name, a, b)| {
        let ratio = if *a == 0.0 { "-".to_owned() } else { format!("{:.3}", b / a) };
        format!("{name:<26} {a:>14.4} {b:>14.4} {ratio:>9}")
    }));
    for (of, with) in a.classes.iter().filter_map(|c| Some((c, b.classes.iter().find(|d| d.name == c.name)?)))
    {
        let name = format!("{} service", of.name);
        let ratio =
            if of.service == 0.0 { "-".to_owned() } else { format!("{:.3}", with.service / of.service) };
        lines.push(format!("{name:<26} {:>14.4} {:>14.4} {ratio:>9}", of.service, with.service));
    }
    lines.join("\n")
}

fn cpu(figures: &Figures) -> f64 {
    figures.proxies.iter().map(|usage| usage.cpu_s).sum()
}

fn service(figures: &Figures) -> Drawn {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let seconds = figures.timeline.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..seconds, 0.0..1.05)?;
        chart.configure_mesh().x_desc("seconds").y_desc("service").draw()?;
        chart.draw_series(figures.troubles.iter().map(|(at, until, _)| {
            Rectangle::new([(*at, 0.0), (until.unwrap_or(seconds), 1.05)], RED.mix(0.12).filled())
        }))?;
        let asked = figures.timeline.iter().enumerate().filter(|(_, second)| second.asked > 0.0);
        chart.draw_series(LineSeries::new(asked.map(|(n, s)| (n as f64 + 0.5, s.got / s.asked)), &BLUE))?;
        area.present()?;
    }
    Ok(svg)
}

/// Latency against how rare it is: each step to the right is ten times rarer.
fn latency(figures: &Figures) -> Drawn {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let most = figures.latency.max.max(1.0) * 1.1;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..4.0, (0.1..most).log_scale())?;
        let word = |x: &f64| format!("{}%", 100.0 - 100.0 * 10.0_f64.powf(-x));
        chart.configure_mesh().x_labels(5).x_label_formatter(&word).y_desc("ms").draw()?;
        for (place, class) in figures.classes.iter().enumerate() {
            let color = Palette99::pick(place).to_rgba();
            let rare = |q: f64| (-(1.0 - q).max(1e-4).log10()).min(4.0);
            let curve = class.curve.iter().map(|&(q, ms)| (rare(q), ms.max(0.1)));
            chart
                .draw_series(LineSeries::new(curve, color.stroke_width(2)))?
                .label(&class.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn spread(figures: &Figures) -> Vec<f64> {
    figures.attempts_spread.iter().map(|&count| count as f64).collect()
}

fn loads(figures: &Figures) -> Vec<f64> {
    figures.nodes.iter().map(|node| node.load).collect()
}

fn bars(values: &[f64], x: &str, y: &str) -> Drawn {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let most = values.iter().copied().fold(1e-3, f64::max) * 1.1;
        let count = values.len().max(1) as i32;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d((0..count - 1).into_segmented(), 0.0..most)?;
        chart.configure_mesh().disable_x_mesh().x_desc(x).y_desc(y).draw()?;
        let bars = Histogram::vertical(&chart).style(BLUE.mix(0.6).filled()).margin(2);
        chart.draw_series(bars.data(values.iter().enumerate().map(|(n, value)| (n as i32, *value))))?;
        area.present()?;
    }
    Ok(svg)
}
