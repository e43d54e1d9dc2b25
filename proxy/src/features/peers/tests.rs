//! Unit tests of `peers`.

use crate::features::sections::assert_refused;
use crate::features::Features;

#[test]
fn what_would_never_work_ends_the_start_with_its_line() {
    let good = "[peers]\nlisten = 10.0.0.4:7946\ncontacts = 10.0.0.1:7946, 10.0.0.2:7946\ncluster = a\nnetworks = 10.0.0.0/8\n";
    let peers = Features::parse(good).expect("good").peers.expect("on");
    assert_eq!((peers.contacts.len(), peers.advertise), (2, peers.listen));
    let cases = [
        (good.replace("7946\ncon", "0\ncon"), 2, "no port"),
        (good.replace("listen", "advertise"), 1, "listen is missing"),
        (good.replace("= 10.0.0.4:", "= 0.0.0.0:"), 1, "unspecified"),
        (good.replace(", 10.0.0.2:7946", ", palermo"), 3, "palermo"),
        (good.replace("cluster = a\n", ""), 1, "cluster is missing"),
        (good.replace("= 10.0.0.0/8", "= 10.0.0.0/99"), 5, "10.0.0.0/99"),
        (good.replace("= 10.0.0.0/8", "= 192.168.0.0/16"), 1, "leaves out 10.0.0.4"),
        (format!("{good}port = 1\n"), 6, "unknown key port"),
    ];
    assert_refused(Features::parse, &cases);
}
