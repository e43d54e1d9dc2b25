use super::*;

const BANKS: [(&str, f64); 2] = [("banca-trinacria", 0.6), ("cassa-iblea", 0.3)];

fn with(caps: &[&str]) -> QuotaConfig {
    QuotaConfig { caps: caps.iter().map(|cap| cap.to_string()).collect(), ..QuotaConfig::default() }
}

#[test]
fn guaranteed_minimums_never_make_more_than_the_cap() {
    for cap in 8..200 {
        for guaranteed_percent in [1, 25, 50, 100] {
            let config = QuotaConfig { guaranteed_percent, ..with(&[&format!("others {cap}")]) };
            let registry = TenantRegistry::new(&config, BANKS).unwrap();
            let pool = registry.pool(2).unwrap();
            assert_eq!(pool + 8 * registry.tenants[2].guaranteed, cap);
        }
    }
}

#[test]
fn says_what_is_wrong_with_the_caps() {
    let error = |caps: &[&str]| TenantRegistry::new(&with(caps), BANKS).unwrap_err();
    assert_eq!(
        error(&["cassa-iblea 20", "cassa-iblea 20"]),
        QuotaConfigError::DuplicateCap("cassa-iblea".into())
    );
    assert!(matches!(error(&["cassa 20"]), QuotaConfigError::UnknownTenant { .. }));
    assert!(matches!(error(&["cassa-iblea 7"]), QuotaConfigError::CapTooLow { cap: 7, proxies: 8, .. }));
    assert!(matches!(error(&["cassa-iblea"]), QuotaConfigError::InvalidCap(_)));
    assert!(matches!(error(&["cassa-iblea -3"]), QuotaConfigError::InvalidCap(_)));
    let twice = TenantRegistry::new(&with(&[]), [("others", 1.0)]).unwrap_err();
    assert_eq!(twice, QuotaConfigError::AmbiguousTenant("others".into()));
    for (guaranteed_percent, margin_percent, max_proxies) in
        [(0, 10, 8), (101, 10, 8), (25, 100, 8), (25, 10, 0)]
    {
        let config =
            QuotaConfig { guaranteed_percent, margin_percent, max_proxies, ..QuotaConfig::default() };
        assert!(TenantRegistry::new(&config, BANKS).is_err(), "{config:?}");
    }
}

#[test]
fn a_site_without_tenants_has_one_group() {
    let registry = TenantRegistry::new(&with(&["others 10"]), []).unwrap();
    assert_eq!((registry.tenants.len(), registry.pool(0), registry.index(Some("anybody"))), (1, Some(2), 0));
}

#[test]
fn other_configurations_have_another_digest() {
    let digest = |caps: &[&str]| TenantRegistry::new(&with(caps), BANKS).unwrap().digest;
    assert_eq!(digest(&["others 10"]), digest(&["others 10"]));
    assert_ne!(digest(&["others 10"]), digest(&["others 11"]));
}
