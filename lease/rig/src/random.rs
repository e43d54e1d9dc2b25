//! A source of randomness without any, so that a state of a model has one successor.

use rand_core::RngCore;

/// Draws the same for one node every time, and something else for another: two nodes that become candidates at once must
/// not do so for ever.
pub struct FixedRandom(u32);

impl FixedRandom {
    /// The source of a node, of which there are four at the most.
    ///
    /// # Panics
    ///
    /// Panics for the number of a node that no model has.
    pub fn for_node(node: usize) -> FixedRandom {
        FixedRandom(u32::try_from(node).expect("four nodes at the most") << 30)
    }
}

impl RngCore for FixedRandom {
    fn next_u32(&mut self) -> u32 {
        self.0
    }

    fn next_u64(&mut self) -> u64 {
        u64::from(self.0) << 32
    }

    fn fill_bytes(&mut self, to: &mut [u8]) {
        to.fill(self.0.to_le_bytes()[0]);
    }

    fn try_fill_bytes(&mut self, to: &mut [u8]) -> Result<(), rand_core::Error> {
        self.fill_bytes(to);
        Ok(())
    }
}
