//! A flow from origins to zones that can be augmented up to the maximum (Edmonds-Karp).

use super::{AllocationInput, LinkState};

#[derive(Clone, Debug)]
pub(super) struct Flow {
    /// Amounts by origin and target.
    pub amounts: Vec<Vec<u64>>,
    /// Free capacity by zone.
    pub remaining: Vec<u64>,
    /// Zones with a link from each origin that is not closed, in the order of cost.
    targets: Vec<Vec<usize>>,
}

impl Flow {
    pub fn new(input: &AllocationInput<'_>) -> Flow {
        let count = input.topology.count();
        let targets = (0..count).map(|origin| {
            let mut targets: Vec<usize> =
                (0..count).filter(|target| input.link(origin, *target) != LinkState::Closed).collect();
            targets.sort_by_key(|target| (input.cost(origin, *target), *target));
            targets
        });
        let mut remaining = input.capacity.clone();
        remaining.resize(count, 0);
        Flow { amounts: vec![vec![0; count]; count], remaining, targets: targets.collect() }
    }

    pub fn targets(&self, origin: usize) -> &[usize] {
        &self.targets[origin]
    }

    pub fn place(&mut self, origin: usize, target: usize, amount: u64) {
        self.amounts[origin][target] += amount;
        self.remaining[target] -= amount.min(self.remaining[target]);
    }

    /// Places up to `amount` more of an origin and returns how much was placed. Traffic of other origins is
    /// moved to other zones where necessary, but no origin's sum decreases. Augmenting paths are found
    /// shortest first, so that their number is bounded (Edmonds-Karp).
    pub fn augment(&mut self, origin: usize, amount: u64) -> u64 {
        let mut placed = 0;
        while placed < amount {
            let Some(path) = self.augmenting_path(origin) else { break };
            // The path alternates between origins and zones; the least amount along it can be moved.
            let movable = path.iter().skip(1).map(|(origin, _, source)| self.amounts[*origin][*source]);
            let last_remaining = path.last().map_or(0, |(_, target, _)| self.remaining[*target]);
            let pushed = movable.min().unwrap_or(u64::MAX).min(last_remaining).min(amount - placed);
            for (hop, (origin, target, source)) in path.iter().enumerate() {
                self.amounts[*origin][*target] += pushed;
                if hop > 0 {
                    self.amounts[*origin][*source] -= pushed;
                }
            }
            if let Some((_, target, _)) = path.last() {
                self.remaining[*target] -= pushed;
            }
            placed += pushed;
        }
        placed
    }

    /// Shortest augmenting path by breadth-first search. Each hop is an origin, the zone that gets its
    /// traffic, and the zone that the traffic is taken from. The first hop takes new traffic.
    fn augmenting_path(&self, start: usize) -> Option<Vec<(usize, usize, usize)>> {
        let count = self.remaining.len();
        // The origin from which each zone was reached, and the zone through which each origin was reached.
        let mut reached_by: Vec<Option<usize>> = vec![None; count];
        let mut reached_through: Vec<Option<usize>> = vec![None; count];
        let mut frontier = vec![start];
        let mut visited = vec![false; count];
        visited[start] = true;
        while !frontier.is_empty() {
            let mut next_frontier = Vec::new();
            for origin in frontier {
                for target in self.targets[origin].iter().copied() {
                    if reached_by[target].is_some() {
                        continue;
                    }
                    reached_by[target] = Some(origin);
                    if self.remaining[target] > 0 {
                        return Some(trace_path(start, target, &reached_by, &reached_through));
                    }
                    for other in (0..count).filter(|other| self.amounts[*other][target] > 0) {
                        if !std::mem::replace(&mut visited[other], true) {
                            reached_through[other] = Some(target);
                            next_frontier.push(other);
                        }
                    }
                }
            }
            frontier = next_frontier;
        }
        None
    }
}

fn trace_path(
    start: usize,
    mut target: usize,
    reached_by: &[Option<usize>],
    reached_through: &[Option<usize>],
) -> Vec<(usize, usize, usize)> {
    let mut path = Vec::new();
    while let Some(origin) = reached_by[target] {
        let source = if origin == start { target } else { reached_through[origin].unwrap_or(target) };
        path.push((origin, target, source));
        if origin == start {
            break;
        }
        target = source;
    }
    path.reverse();
    path
}
