//! Deterministic replacement of the random number generator, so that a state and a fault determine the next
//! state of a model.

use rand_core::RngCore;

/// Random number generator that always returns the same value. The value differs between nodes, because
/// candidates with equal backoffs would collide forever.
pub struct FixedRandom(u32);

impl FixedRandom {
    /// Creates the generator for the node with the index `node`.
    ///
    /// # Panics
    ///
    /// Panics if `node` is 4 or greater.
    pub fn for_node(node: usize) -> FixedRandom {
        FixedRandom(u32::try_from(node).expect("the node index is below four") << 30)
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
