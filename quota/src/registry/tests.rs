use super::*;

const TENANTS: [(&str, f64); 2] = [("banca-trinacria", 0.6), ("cassa-iblea", 0.3)];

fn config_with_caps(caps: &[&str]) -> QuotaConfig {
    QuotaConfig { caps: caps.iter().map(|cap| cap.to_string()).collect(), ..QuotaConfig::default() }
}

#[test]
fn guaranteed_minimums_and_pool_add_up_to_the_cap() {
    for cap in 8..200 {
        for guaranteed_percent in [1, 25, 50, 100] {
            let config = QuotaConfig { guaranteed_percent, ..config_with_caps(&[&format!("others {cap}")]) };
            let registry = TenantRegistry::new(&config, TENANTS).unwrap();
            let pool = registry.pool(2).unwrap();
            assert_eq!(pool + 8 * registry.tenants[2].guaranteed, cap);
        }
    }
}

#[test]
fn invalid_configurations_are_rejected() {
    let error = |caps: &[&str]| TenantRegistry::new(&config_with_caps(caps), TENANTS).unwrap_err();
    assert_eq!(
        error(&["cassa-iblea 20", "cassa-iblea 20"]),
        QuotaConfigError::DuplicateCap("cassa-iblea".into())
    );
    assert!(matches!(error(&["cassa 20"]), QuotaConfigError::UnknownTenant { .. }));
    assert!(matches!(error(&["cassa-iblea 7"]), QuotaConfigError::CapTooLow { cap: 7, proxies: 8, .. }));
    assert!(matches!(error(&["cassa-iblea"]), QuotaConfigError::InvalidCap(_)));
    assert!(matches!(error(&["cassa-iblea -3"]), QuotaConfigError::InvalidCap(_)));
    let ambiguous_name = TenantRegistry::new(&config_with_caps(&[]), [("others", 1.0)]).unwrap_err();
    assert_eq!(ambiguous_name, QuotaConfigError::AmbiguousTenant("others".into()));
    for (guaranteed_percent, margin_percent, max_proxies) in
        [(0, 10, 8), (101, 10, 8), (25, 100, 8), (25, 10, 0)]
    {
        let config =
            QuotaConfig { guaranteed_percent, margin_percent, max_proxies, ..QuotaConfig::default() };
        assert!(TenantRegistry::new(&config, TENANTS).is_err(), "{config:?}");
    }
}

#[test]
fn a_site_without_tenants_has_the_default_tenant() {
    let registry = TenantRegistry::new(&config_with_caps(&["others 10"]), []).unwrap();
    assert_eq!((registry.tenants.len(), registry.pool(0), registry.index(Some("anybody"))), (1, Some(2), 0));
}

#[test]
fn digests_of_different_configurations_differ() {
    let digest = |caps: &[&str]| TenantRegistry::new(&config_with_caps(caps), TENANTS).unwrap().digest;
    assert_eq!(digest(&["others 10"]), digest(&["others 10"]));
    assert_ne!(digest(&["others 10"]), digest(&["others 11"]));
}
