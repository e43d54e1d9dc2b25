//! Unit tests of the topology.

use super::*;

fn settings(zones: &[(&str, &str)]) -> TopologySettings {
    let zones = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect();
    TopologySettings { zones, cross_zone: 10, cross_region: 40, regions: Vec::new() }
}

#[test]
fn cost_depends_on_zone_and_region_with_an_override_per_pair_of_regions() {
    let mut settings = settings(&[("a", "south"), ("b", "south"), ("c", "north"), ("d", "island")]);
    settings.regions.push(("north".into(), "south".into(), 20));
    let topology = Topology::new(&settings).expect("valid settings");
    let costs: Vec<u32> = (0..4).map(|to| topology.cost(0, to)).collect();
    assert_eq!((costs, topology.cost(2, 0), topology.cost(2, 3)), (vec![0, 10, 20, 40], 20, 40));
}

#[test]
fn invalid_settings_are_rejected_with_the_reason() {
    assert_eq!(Topology::new(&settings(&[])), Err(TopologyError::ZoneCount(0)));
    assert_eq!(
        Topology::new(&settings(&[("a", "r"), ("a", "r")])),
        Err(TopologyError::DuplicateZone("a".into()))
    );
    assert_eq!(Topology::new(&settings(&[("a\n", "r")])), Err(TopologyError::InvalidName("a\n".into())));
    let cheap_region = TopologySettings { cross_region: 9, ..settings(&[("a", "r")]) };
    assert_eq!(Topology::new(&cheap_region), Err(TopologyError::InvalidCost(9)));
    let unknown = TopologySettings { regions: vec![("r".into(), "s".into(), 50)], ..settings(&[("a", "r")]) };
    assert_eq!(Topology::new(&unknown), Err(TopologyError::UnknownRegion("s".into())));
}
