//! The peers: which other client proxies live. Off where proxies may not talk to each other.

use super::bounds::{bytes, port};
use super::sections::{Problem, Section};
use flaxhead_lease::Voters;
use flaxhead_membership::{Config, Name};
use flaxhead_peers::Settings;
use ipnet::IpNet;
use std::net::SocketAddr;

/// Takes the settings from the section.
pub fn read(section: &mut Section) -> Result<Settings, Problem> {
    let listen: Option<SocketAddr> = section.take_if("listen", |at: &SocketAddr| port(&at.port()))?;
    let listen = listen.ok_or_else(|| section.problem("listen is missing"))?;
    let advertise = section.take("advertise")?.unwrap_or(listen);
    if advertise.ip().is_unspecified() {
        return Err(section.problem("others reach no unspecified address: name one with advertise"));
    }
    let contacts = list(section, "contacts")?;
    let cluster = section
        .take_if("cluster", bytes(Settings::MAX_CLUSTER_BYTES))?
        .ok_or_else(|| section.problem("cluster is missing"))?;
    let networks: Vec<IpNet> = list(section, "networks")?;
    if networks.is_empty() {
        return Err(section.problem("networks is missing: nobody would be let in"));
    }
    if !networks.iter().any(|network| network.contains(&advertise.ip())) {
        return Err(
            section.problem(format!("networks leaves out {}, where this process itself is", advertise.ip()))
        );
    }
    Ok(Settings { listen, advertise, contacts, cluster, networks, config: Config::default() })
}

/// Who votes, as more than one section says it.
pub(super) fn voters(section: &mut Section) -> Result<Voters, Problem> {
    let mut names = |key: &str| -> Result<Vec<Name>, Problem> {
        let texts: Vec<String> = list(section, key)?;
        let names = texts.iter().map(|text| Name::new(text)).collect::<Result<_, _>>();
        names.map_err(|error| section.problem(format!("{key}: {error}")))
    };
    let (now, next) = (names("voters")?, names("next_voters")?);
    Voters::new(now, next).map_err(|error| section.problem(format!("voters: {error}")))
}

pub(super) fn list<T: std::str::FromStr<Err: std::fmt::Display>>(
    section: &mut Section,
    key: &str,
) -> Result<Vec<T>, Problem> {
    let parse = |text: &str| text.trim().parse::<T>().map_err(|e| format!("{:?}: {e}", text.trim()));
    let pieces = |text: &str| {
        text.split(',').filter(|p| !p.trim().is_empty()).map(parse).collect::<Result<Vec<T>, _>>()
    };
    let text = section.take_if(key, |text: &String| pieces(text).map(drop))?;
    Ok(text.and_then(|text| pieces(&text).ok()).unwrap_or_default())
}

#[cfg(test)]
mod tests;
