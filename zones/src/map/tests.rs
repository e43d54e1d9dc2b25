//! Unit tests of `map`.

use super::*;

fn terms(zones: &[(&str, &str)]) -> MapTerms {
    let zones = zones.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect();
    MapTerms { zones, cross_zone: 10, cross_region: 40, regions: Vec::new() }
}

#[test]
fn near_costs_less_than_far() {
    let mut terms = terms(&[("a", "south"), ("b", "south"), ("c", "north"), ("d", "island")]);
    terms.regions.push(("north".into(), "south".into(), 20));
    let map = Map::new(&terms).expect("good");
    let row: Vec<u32> = (0..4).map(|to| map.cost(0, to)).collect();
    assert_eq!((row, map.cost(2, 0), map.cost(2, 3)), (vec![0, 10, 20, 40], 20, 40));
}

#[test]
fn says_what_is_wrong() {
    assert_eq!(Map::new(&terms(&[])), Err(MapError::Count(0)));
    assert_eq!(Map::new(&terms(&[("a", "r"), ("a", "r")])), Err(MapError::Twice("a".into())));
    assert_eq!(Map::new(&terms(&[("a\n", "r")])), Err(MapError::Name("a\n".into())));
    let far = MapTerms { cross_region: 9, ..terms(&[("a", "r")]) };
    assert_eq!(Map::new(&far), Err(MapError::Cost(9)));
    let unknown = MapTerms { regions: vec![("r".into(), "s".into(), 50)], ..terms(&[("a", "r")]) };
    assert_eq!(Map::new(&unknown), Err(MapError::UnknownRegion("s".into())));
}
