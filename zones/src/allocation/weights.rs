//! Admission levels and weights, the form in which a plan states amounts.

use serde::{Deserialize, Serialize};

/// Sum of the weights of a split. Admission ratios have the same unit: this is the ratio of a class that is
/// admitted in full.
pub const TOTAL_WEIGHT: u32 = 10_000;

/// Admitted part of an origin's requests: the classes with the highest priority in full, and a part of the
/// next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdmissionLevel {
    /// Number of classes that are admitted in full.
    pub full_classes: u8,
    /// Admitted ratio of the next class, in units of 1 / [`TOTAL_WEIGHT`].
    pub partial_ratio: u16,
}

impl AdmissionLevel {
    /// Admitted ratio of a class, in units of 1 / [`TOTAL_WEIGHT`].
    pub fn ratio_of(&self, class: usize) -> u32 {
        match class.cmp(&usize::from(self.full_classes)) {
            std::cmp::Ordering::Less => TOTAL_WEIGHT,
            std::cmp::Ordering::Equal => u32::from(self.partial_ratio),
            std::cmp::Ordering::Greater => 0,
        }
    }
}

/// The highest level at which no more than `admitted` of the demand is admitted. Classes without demand count
/// as admitted in full.
pub fn admission_level(demand: &[u64], admitted: &[u64]) -> AdmissionLevel {
    for (class, demand) in demand.iter().enumerate() {
        let class_amount = admitted.get(class).copied().unwrap_or(0);
        if class_amount < *demand {
            let partial_ratio = u128::from(class_amount) * u128::from(TOTAL_WEIGHT) / u128::from(*demand);
            return AdmissionLevel { full_classes: class as u8, partial_ratio: partial_ratio as u16 };
        }
    }
    AdmissionLevel { full_classes: u8::MAX, partial_ratio: 0 }
}

/// Part of the demand, given by class, that is admitted at a level.
pub fn admitted_demand(demand: &[u64], admission: &AdmissionLevel) -> u64 {
    let class_amount = |(class, demand): (usize, &u64)| {
        u128::from(*demand) * u128::from(admission.ratio_of(class)) / u128::from(TOTAL_WEIGHT)
    };
    demand.iter().enumerate().map(class_amount).sum::<u128>().min(u128::from(u64::MAX)) as u64
}

/// Weights in proportion to amounts that add up to [`TOTAL_WEIGHT`], by the largest remainder method; `None`:
/// all amounts are 0.
pub fn normalized_weights(amounts: &[u64]) -> Option<Vec<u32>> {
    let sum: u128 = amounts.iter().map(|amount| u128::from(*amount)).sum();
    if sum == 0 {
        return None;
    }
    let total = u128::from(TOTAL_WEIGHT);
    let mut weights: Vec<u32> =
        amounts.iter().map(|amount| (u128::from(*amount) * total / sum) as u32).collect();
    let mut by_remainder: Vec<usize> = (0..amounts.len()).collect();
    by_remainder.sort_by_key(|index| (std::cmp::Reverse(u128::from(amounts[*index]) * total % sum), *index));
    let missing = TOTAL_WEIGHT - weights.iter().sum::<u32>();
    by_remainder.into_iter().take(missing as usize).for_each(|index| weights[index] += 1);
    Some(weights)
}
