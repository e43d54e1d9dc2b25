//! Randomness that is none, so that a model has one next state.

use rand_core::RngCore;

/// Draws what each node always draws: two that run at once must not do so for ever.
pub struct Fixed(u32);

impl Fixed {
    /// A node's.
    pub fn of(node: usize) -> Fixed {
        Fixed((node as u32) << 30)
    }
}

impl RngCore for Fixed {
    fn next_u32(&mut self) -> u32 {
        self.0
    }

    fn next_u64(&mut self) -> u64 {
        u64::from(self.0) << 32
    }

    fn fill_bytes(&mut self, to: &mut [u8]) {
        to.fill(self.0 as u8);
    }

    fn try_fill_bytes(&mut self, to: &mut [u8]) -> Result<(), rand_core::Error> {
        self.fill_bytes(to);
        Ok(())
    }
}
