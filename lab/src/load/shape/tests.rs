//! Unit tests of `shape`.

use super::*;

#[test]
fn no_shape_passes_its_peak_or_falls_under_its_rate() {
    let shapes = [
        Shape::Steady { rate: 5.0 },
        Shape::Ramp { from: 5.0, to: 50.0 },
        Shape::The27th { rate: 5.0, peak: 50.0 },
        Shape::MonthEnd { rate: 5.0, peak: 50.0, batches: 4 },
    ];
    for shape in shapes {
        let rates: Vec<f64> = (0..=1_000).map(|n| shape.rate(f64::from(n) / 10.0, 100.0)).collect();
        let (least, most) = rates.iter().fold((f64::MAX, 0.0_f64), |(a, b), &r| (a.min(r), b.max(r)));
        assert!(least >= 4.999 && most <= shape.peak() + 1e-9, "{shape:?}: {least} to {most}");
        assert!(most > 0.95 * shape.peak(), "{shape:?} never comes near its peak: {most}");
    }
}

#[test]
fn a_burst_is_there_for_its_time_alone() {
    let burst = Shape::Burst { rate: 9.0, at: 2.0, lasts: 1.0 };
    assert_eq!([1.9, 2.0, 2.9, 3.0].map(|at| burst.rate(at, 10.0)), [0.0, 9.0, 9.0, 0.0]);
}
