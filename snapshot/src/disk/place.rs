//! One file in the place of another.

use super::trouble::Trouble;

/// Where a file is kept: the steps of a replacement one by one, so that tests can stop between any two.
pub trait Place {
    /// Makes sure that the place is there and nobody else's.
    fn ready(&mut self) -> Result<(), Trouble>;
    /// Writes a new file beside the one that counts.
    fn write(&mut self, bytes: &[u8]) -> Result<(), Trouble>;
    /// Has the new file's bytes on the disk.
    fn sync(&mut self) -> Result<(), Trouble>;
    /// Puts the new file in the place of the one that counts.
    fn rename(&mut self) -> Result<(), Trouble>;
    /// Has the folder's names on the disk.
    fn sync_names(&mut self) -> Result<(), Trouble>;
}

/// Puts these bytes in the place of the file that counts, which stays until they are on the disk.
pub fn replace(place: &mut impl Place, bytes: &[u8]) -> Result<(), Trouble> {
    place.ready()?;
    place.write(bytes)?;
    place.sync()?;
    place.rename()?;
    place.sync_names()
}
