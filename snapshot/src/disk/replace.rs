//! Replacing a file by another atomically.

use super::fault::DiskFault;

/// A file that can be replaced: the steps of a replacement one by one, so that tests can stop between any two.
pub trait ReplaceableFile {
    /// Makes sure that the file's directory is there and no other process uses it.
    ///
    /// # Errors
    ///
    /// Where it cannot be used, as with all steps.
    fn prepare(&mut self) -> Result<(), DiskFault>;
    /// Writes a new file beside the current one.
    ///
    /// # Errors
    ///
    /// What the system says.
    fn write_new(&mut self, bytes: &[u8]) -> Result<(), DiskFault>;
    /// Has the new file's bytes on the disk.
    ///
    /// # Errors
    ///
    /// What the system says.
    fn sync_new(&mut self) -> Result<(), DiskFault>;
    /// Renames the new file to the current one.
    ///
    /// # Errors
    ///
    /// What the system says.
    fn rename_new(&mut self) -> Result<(), DiskFault>;
    /// Has the directory's entries on the disk.
    ///
    /// # Errors
    ///
    /// What the system says.
    fn sync_directory(&mut self) -> Result<(), DiskFault>;
}

/// Replaces the contents of a file. The current file stays until the new bytes are on the disk.
///
/// # Errors
///
/// That of the first step that fails; the current file is then as it was, or the new one.
pub fn replace(file: &mut impl ReplaceableFile, bytes: &[u8]) -> Result<(), DiskFault> {
    file.prepare()?;
    file.write_new(bytes)?;
    file.sync_new()?;
    file.rename_new()?;
    file.sync_directory()
}
