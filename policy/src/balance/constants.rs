//! All constants of the policy. Spans are ratios to the settings' aims or to observed answer times.

use crate::api::Micros;

/// Most steps of a budget: A105's default for its connections.
pub(super) const STEP_CLAMP: u32 = 10;
/// Calls in flight at a server over all balancers, for a few cores: at first, when all balancers come at once
/// and a jam would last; and where mild strain leads, from above or below.
pub(super) const START_CONCURRENCY: f64 = 7.0;
pub(super) const FLOOR_CONCURRENCY: f64 = 12.0;
/// What one round leaves of the concurrency at the least (TCP's cut), and what a refusal as full leaves.
pub(super) const CUT_MOST: f64 = 0.5;
pub(super) const CUT_FULL: f64 = 0.8;
/// An answer is strained beyond this many times its class's unloaded time: about two calls a core.
pub(super) const STRAIN_TIMES: f64 = 3.0;
/// ... or beyond this share of its aim, whichever is shorter.
pub(super) const STRAIN_AIM: f64 = 0.33;
/// ... but not within this many times the least answer time of its zone: no budget shortens the way there.
pub(super) const STRAIN_WAY: f64 = 1.5;
/// Reported share of busy cores that is as much as an answer at that limit: above it waiting grows steeply.
pub(super) const BUSY_FULL: f64 = 0.9;
/// Strain beyond which a budget is cut below its floor: answers take more than half their aim.
pub(super) const STRAIN_DEEP: f64 = 1.5;
/// What a deep cut leaves of the floor at the least: an idle half of a few cores.
pub(super) const DEEP_FLOOR: f64 = 0.2;
/// Weight of a new answer in a server's strain and in a class's mean: about twenty answers are remembered.
pub(super) const SMOOTHING: f64 = 0.1;
/// Time over which a class's unloaded answer time may drift up to its present mean, and a zone's way to that
/// of its answers.
pub(super) const BASE_DRIFT: f64 = 120e6;
/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two in four.
pub(super) const FAIL_WEIGHT: f64 = 0.2;
pub(super) const FAIL_LIMIT: f64 = 0.3;
/// First backoff as a share of the longest aim, and the number of doublings up to its cap.
pub(super) const BACKOFF_AIM: f64 = 0.25;
pub(super) const BACKOFF_DOUBLINGS: u32 = 4;
/// Wait in the queue beyond which new calls are refused, as a share of their aim.
pub(super) const WAIT_AIM: f64 = 0.1;
/// Usual answer times that must be left before the aim: for a second copy, and for a protected call to wait.
pub(super) const SPARE_TIMES: f64 = 2.0;
/// Further attempts and second copies that each call earns, and the most that may be saved up.
pub(super) const RETRY_EARNED: f64 = 0.2;
pub(super) const RETRY_SAVED: f64 = 20.0;
/// Queued calls looked at beyond the first, at an event: it bounds the CPU that a long queue costs.
pub(super) const LOOK_PAST: usize = 16;
/// Calls to a cold server whose answers this balancer sees to be in time, as times its least part: it warms
/// up sooner the more it works. No more than this part of the multiple that pushes it over, and never more
/// than half as much again.
pub(super) const COLD_SEEN_OF_FALL: f64 = 0.6;
pub(super) const COLD_SEEN: f64 = 1.5;
/// Parts of a turn that the first one of a cold server is drawn from.
pub(super) const TURN_PARTS: u64 = 1 << 16;
/// Memory of how busy a server was kept, in sends of this balancer for each server.
pub(super) const BUSY_ROUNDS: f64 = 4.0;
/// A server's first budget under which a balancer is thin: half a call, which would round to none.
pub(super) const THIN_UNDER: f64 = 0.5;
/// Servers that a thin balancer's calls go to at the least, and the mean in flight at each beyond which more:
/// half of them are free then for two choices, and one is mostly met again before its connection idles out.
pub(super) const WINDOW_LEAST: usize = 8;
pub(super) const WINDOW_BUSY: f64 = 0.5;
/// Doublings of a zone's backoff up to a server's first: one failed connection says little of a zone.
pub(super) const ZONE_DOUBLINGS: u32 = 3;
/// Memory of the rate of answers.
pub(super) const RATE_MEMORY: f64 = 3e6;
/// Longest aims without an answer after which what a server showed no longer tells it from its zone's best,
/// and the longest such time: a busy proxy loses by trying slow servers often, a quiet one by waiting long.
pub(super) const SHOWN_AIMS: f64 = 8.0;
pub(super) const SHOWN_MOST: f64 = 4e6;
/// Weight of a new answer in what a model of server takes, and in what one server takes beside its model.
pub(super) const MODEL_WEIGHT: f64 = 0.01;
pub(super) const BESIDE_WEIGHT: f64 = 0.25;
/// Memory of what one server takes beside its model: jams and bad spells last seconds.
pub(super) const BESIDE_MEMORY: f64 = 3e6;
/// The furthest that one answer tells from its model, as a logarithm: calls differ tenfold in work.
pub(super) const BESIDE_MOST: f64 = 2.5;
/// Doublings of the pause after which a lost subscription is asked for again.
pub(super) const ASK_DOUBLINGS: u32 = 3;
/// Discovery's word counts as told 6 s after it could be reached, whatever calls failed. Calls begin this far
/// apart at the most, so that an answer still fits in, and so long after the break of a watch that was open.
pub(super) const ASK_APART: Micros = 5_000_000;
pub(super) const ASK_BROKEN: Micros = 3_000_000;
/// Time that discovery is left for each balancer where all of them may ask at once.
pub(super) const ASK_EACH: Micros = 30_000;
/// Part of the aim within which a thin balancer's own zone must be expected to answer, to be kept to: it is
/// wrong by a factor of two or three on any one server.
pub(super) const HOME_AIM: f64 = 0.35;
/// Strain up to which the own zone is kept to by others, who know each server: 1 is the limit.
pub(super) const HOME_STRAIN: f64 = 0.4;
/// Ties this near are left to chance.
pub(super) const ALIKE: f64 = 0.93;
