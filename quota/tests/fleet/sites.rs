//! Tenants and caps of three sites that differ widely: several banks, three shops with very different
//! portions, and a site without tenants.

/// Tenants with their portions of the service, and caps in the form of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Site {
    pub tenants: Vec<(String, f64)>,
    pub caps: Vec<String>,
}

type NamedValues<T> = Vec<(&'static str, T)>;

/// Returns the tenants and caps of a site. All caps are multiples of `scale`.
pub fn site(name: &str, scale: u32) -> Site {
    let (tenants, caps): (NamedValues<f64>, NamedValues<u32>) = match name {
        "banks" => (
            [0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05]
                .iter()
                .zip(["etna", "iblea", "conca", "trina", "zagara", "scirocco", "gebbia"])
                .map(|(portion, name)| (name, *portion))
                .collect(),
            vec![("etna", 4), ("iblea", 3), ("gebbia", 1), ("others", 2)],
        ),
        "shops" => (
            vec![("large", 0.9), ("small", 0.001), ("new", 0.0)],
            vec![("small", 1), ("new", 2), ("large", 9)],
        ),
        _ => (Vec::new(), vec![("others", 3)]),
    };
    Site {
        tenants: tenants.into_iter().map(|(name, portion)| (name.to_owned(), portion)).collect(),
        caps: caps.into_iter().map(|(name, cap)| format!("{name} {}", cap * scale)).collect(),
    }
}
