//! Access by client address: allowed and denied networks, and trusted reverse proxies.

use flaxhead_policy::{Access, Networks, PeerAccess};
use std::net::IpAddr;

fn networks(text: &str) -> Networks {
    text.parse().expect(text)
}

fn ip(text: &str) -> IpAddr {
    text.parse().expect(text)
}

#[test]
fn an_empty_list_allows_everyone_and_deny_wins_over_allow() {
    let mut access = Access::default();
    assert!(access.admits(ip("192.0.2.1")) && access.admits(ip("2001:db8::1")));
    access.deny = networks("10.8.7.0/24");
    assert!(access.admits(ip("10.8.1.1")) && !access.admits(ip("10.8.7.255")));
    access.allow = networks("10.8.0.0/16, fd00:12::/48");
    for (address, admitted) in [
        ("10.8.0.0", true),
        ("10.8.255.255", true),
        ("10.9.0.0", false),
        ("10.7.255.255", false),
        ("10.8.7.1", false),
        ("fd00:12::1", true),
        ("fd00:12:0:ffff::1", true),
        ("fd00:12:1::1", false),
        ("fd00:13::1", false),
    ] {
        assert_eq!(access.admits(ip(address)), admitted, "{address}");
    }
}

#[test]
fn a_mapped_address_is_in_its_ipv4_range_and_a_mapped_range_holds_ipv4_addresses() {
    let plain = networks("10.8.0.0/16");
    assert!(plain.contains(ip("::ffff:10.8.3.4")) && !plain.contains(ip("::ffff:10.9.3.4")));
    let mapped = networks("::ffff:10.8.0.0/112");
    assert!(
        mapped.contains(ip("10.8.3.4"))
            && mapped.contains(ip("::ffff:10.8.3.4"))
            && !mapped.contains(ip("10.9.0.1"))
    );
    assert!(!networks("::/0").contains(ip("10.8.3.4")), "IPv6 ranges do not contain IPv4 addresses");
}

#[test]
fn a_single_address_is_a_range_of_one_and_invalid_ranges_are_rejected() {
    let one = networks(" 10.8.0.1 ,::1");
    assert!(one.contains(ip("10.8.0.1")) && !one.contains(ip("10.8.0.2")) && one.contains(ip("::1")));
    assert!(networks("10.8.3.4/16").contains(ip("10.8.200.1")), "bits beyond the prefix are ignored");
    assert_eq!(networks(""), Networks::default());
    for bad in
        ["10.8.0.0/33", "10.8.0/16", "fd00::/129", "gateway", "10.8.0.0/16,", ",", "10.8.0.0/16 10.9.0.0/16"]
    {
        assert!(bad.parse::<Networks>().is_err(), "{bad}");
    }
}

#[test]
fn a_trusted_proxy_is_identified_whatever_the_lists_say_of_its_own_address() {
    let access = Access {
        allow: networks("10.8.0.0/16"),
        deny: networks("127.0.0.9"),
        proxy_from: networks("127.0.0.9, ::1"),
    };
    assert_eq!(access.check_peer(ip("127.0.0.9")), PeerAccess::TrustedProxy);
    assert_eq!(access.check_peer(ip("::ffff:127.0.0.9")), PeerAccess::TrustedProxy);
    assert_eq!(access.check_peer(ip("::1")), PeerAccess::TrustedProxy);
    assert_eq!(access.check_peer(ip("127.0.0.8")), PeerAccess::Deny);
    assert_eq!(access.check_peer(ip("10.8.1.1")), PeerAccess::Allow);
}
