//! The judge of the peers' runs is seen to fail: by views that lie, and by a run in which somebody is taken for gone.

mod common;

use common::*;
use flaxhead_lab::peers::judge::Judge;
use flaxhead_lab::peers::rig::{agreed, Shown};
use serde_json::json;

fn shown(me: &str, members: &[(&str, &str, &str)]) -> Shown {
    let members = members.iter().map(|(name, state, life)| {
        json!({"name": name, "state": state, "life": life, "generation": 1, "cut_off": null, "reach": {}})
    });
    let members: Vec<_> = members.collect();
    let text = json!({"me": me, "digest": "1", "cut_off": null, "displaced": false, "takes_part": true,
                      "members": members, "rejected": {}});
    serde_json::from_value(text).expect("a view")
}

#[test]
fn whoever_takes_a_running_process_for_gone_is_named_and_an_earlier_life_is_not_it() {
    let mut judge = Judge::default();
    assert!(!judge.figures(Some(1.0)).unheld(5.0).is_empty(), "nobody has shown anything");
    judge.see(&shown("n0", &[("n0", "alive", "a"), ("n1", "alive", "b")]));
    judge.see(&shown("n1", &[("n0", "alive", "a"), ("n1", "alive", "b")]));
    assert!(judge.figures(Some(1.0)).unheld(5.0).is_empty());
    judge.killed("n1");
    judge.see(&shown("n0", &[("n0", "alive", "a"), ("n1", "dead", "b")]));
    judge.started("n1");
    judge.see(&shown("n1", &[("n0", "alive", "a"), ("n1", "alive", "c")]));
    judge.see(&shown("n0", &[("n0", "alive", "a"), ("n1", "dead", "b")]));
    assert!(judge.figures(Some(1.0)).unheld(5.0).is_empty(), "that life was over");
    judge.see(&shown("n0", &[("n0", "alive", "a"), ("n1", "dead", "c")]));
    assert_eq!(judge.figures(Some(1.0)).unheld(5.0), ["n0 took n1 for gone while it ran"]);
    let excusing = Judge::excusing(["n1".to_owned()]);
    let mut judge = excusing;
    judge.see(&shown("n1", &[("n1", "alive", "c")]));
    judge.see(&shown("n0", &[("n1", "dead", "c")]));
    assert!(judge.figures(Some(1.0)).unheld(5.0).is_empty());
    assert_eq!(judge.figures(None).unheld(5.0), ["views were not the same within 5 s"]);
}

#[test]
fn views_that_name_others_or_differ_are_not_one_view() {
    let names = ["n0".to_owned(), "n1".to_owned()];
    let both = [("n0", "alive", "a"), ("n1", "suspect", "b")];
    let (one, other) = (shown("n0", &both), shown("n1", &both));
    assert!(agreed(&[(0, one.clone()), (1, other.clone())], &names));
    assert!(!agreed(&[(0, one.clone())], &names), "one does not answer");
    let apart = Shown { digest: "2".into(), ..other };
    assert!(!agreed(&[(0, one.clone()), (1, apart)], &names), "other lives");
    let buried = shown("n1", &[("n0", "dead", "a"), ("n1", "alive", "b")]);
    assert!(!agreed(&[(0, one), (1, buried)], &names));
}

/// One that nobody hears is taken for gone by all others: without an excuse for it the run fails and says so.
#[test]
fn a_run_in_which_a_running_proxy_is_taken_for_gone_fails() {
    let cut = fault("at = 0.2\nfor = 16\nkind = \"link-cut\"\nproxies = [2]");
    let more = format!(
        "fleet = {{ nodes = [{{ count = 2 }}] }}\nproxies = {{ count = 3 }}\npeers = {{ agree_within_s = 40 }}\n{}{cut}",
        class("balance", "free")
    );
    let done = play(&experiment(17.0, 5.0, &more));
    let unheld = done.figures.verdict.unheld.join("; ");
    assert!(unheld.contains("took n2 for gone while it ran") && !done.figures.verdict.passed(), "{unheld:?}");
    let peers = done.figures.peers.expect("they are judged");
    assert!(peers.cut_off == ["n2"] && peers.agreed_after_s.is_some(), "{peers:?}");
}
