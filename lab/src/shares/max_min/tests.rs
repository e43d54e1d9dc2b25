//! Unit tests of `max_min`.

use super::max_min;

#[test]
fn what_one_leaves_goes_to_the_others_by_their_weights() {
    let cases = [
        (10.0, vec![20.0, 20.0], vec![1.0, 1.0], vec![5.0, 5.0]),
        (10.0, vec![2.0, 20.0], vec![1.0, 1.0], vec![2.0, 8.0]),
        (12.0, vec![20.0, 20.0, 1.0], vec![3.0, 1.0, 4.0], vec![8.25, 2.75, 1.0]),
        (9.0, vec![1.0, 2.0], vec![1.0, 1.0], vec![1.0, 2.0]),
        (9.0, vec![5.0, 0.0, 5.0], vec![1.0, 1.0, 0.0], vec![5.0, 0.0, 0.0]),
        (-1.0, vec![5.0], vec![1.0], vec![0.0]),
    ];
    for (capacity, asked, weights, due) in cases {
        let got = max_min(capacity, &asked, &weights);
        assert!(got.iter().zip(&due).all(|(a, b)| (a - b).abs() < 1e-9), "{asked:?} {weights:?}: {got:?}");
    }
}
