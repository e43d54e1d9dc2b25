//! What a value of the operators' file must be, beside of its type.

use std::path::Path;

/// Why a key cannot have its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// A folder without a name.
    #[error("no folder")]
    Folder,
    /// Port 0: others could not know the one that is taken.
    #[error("no port")]
    Port,
    /// Too little.
    #[error("at least {0}")]
    Under(usize),
    /// Too little or too much.
    #[error("{0} to {1}")]
    Outside(u64, u64),
    /// Too few bytes or too many.
    #[error("1 to {0} bytes")]
    Bytes(usize),
}

/// A folder has a name.
pub fn folder(dir: &impl AsRef<Path>) -> Result<(), ValueError> {
    or(!dir.as_ref().as_os_str().is_empty(), ValueError::Folder)
}

/// A port is not 0.
pub fn port(port: &u16) -> Result<(), ValueError> {
    or(*port > 0, ValueError::Port)
}

/// A number is this or more.
pub fn at_least(least: usize) -> impl Fn(&usize) -> Result<(), ValueError> {
    move |number| or(*number >= least, ValueError::Under(least))
}

/// A number is one of these or between them.
pub fn within<T: Copy + Into<u64>>(least: T, most: T) -> impl Fn(&T) -> Result<(), ValueError> {
    let (least, most) = (least.into(), most.into());
    move |number| or((least..=most).contains(&(*number).into()), ValueError::Outside(least, most))
}

/// A text is there, and no longer than so many bytes.
pub fn bytes(most: usize) -> impl Fn(&String) -> Result<(), ValueError> {
    move |text| or((1..=most).contains(&text.len()), ValueError::Bytes(most))
}

fn or(good: bool, unfit: ValueError) -> Result<(), ValueError> {
    match good {
        true => Ok(()),
        false => Err(unfit),
    }
}
