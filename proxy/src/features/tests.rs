//! Unit tests of this folder.

use super::sections::assert_refused;
use super::*;

#[test]
fn comments_and_blank_lines_switch_nothing_on() {
    let text = "\u{feff}; one\r\n\r\n  ; two = 2\n# three\n# four = 4\n";
    assert_eq!(Features::parse(text), Ok(Features::default()));
}

#[test]
fn a_section_gets_its_defaults() {
    let status = Features::parse("[status]\nlisten_port = 8600\n").expect("good").status;
    let refresh = std::time::Duration::from_secs(1);
    assert_eq!(status, Some(status::Settings { listen_port: Some(8600), refresh }));
}

#[test]
fn a_toml_file_says_the_same_as_an_ini_file() {
    let ini = "[status]\nlisten_port = 8600\n[access]\ndeny = 10.0.0.0/8, fd00::/8\n[log]\nformat = json\n";
    let toml = "log.format = \"json\"\n[status]\nlisten_port = 8600\n\
                    [access]\ndeny = [\"10.0.0.0/8\", \"fd00::/8\"]\n";
    let read = Features::parse_toml(toml).expect("good");
    assert!(read.log == Some(output::Form::Json) && read.access.is_some() && read.status.is_some());
    assert_eq!(Features::parse(ini), Ok(read));
    let cases = [
        ("\n[weather]\n", 2, "unknown section [weather]"),
        ("[status]\n\nport = 80\n", 3, "unknown key port in [status]"),
        ("[status]\nlisten_port = 70000\n", 2, "listen_port = 70000: "),
        ("[status]\nlisten_port = 8600\nlisten_port = 8601\n", 3, "duplicate key"),
        ("status = 1\n", 1, "invalid type"),
        ("[log]\nformat = \"xml\"\n", 2, "format = xml: text or json"),
        ("[log]\nformat = 1979-05-27\n", 2, "neither a plain value"),
        ("[log\n", 1, ""),
    ];
    assert_refused(Features::parse_toml, &cases);
}

#[test]
fn what_is_not_understood_is_told_with_its_line() {
    let cases = [
        ("\n\n[weather]\n", 3, "unknown section [weather]"),
        ("[weather", 1, "neither a section"),
        ("\nnoise\n", 2, "neither a section"),
        ("a = 1", 1, "a stands in no section"),
        ("[s]\na = 1\n\na = 2\n", 4, "a stands there twice"),
        ("[status]\nlisten_port = 70000\n", 2, "listen_port = 70000: "),
        ("[status]\nlisten_port = 0\n", 2, "listen_port = 0: no port"),
        ("[status]\nrefresh_ms = 5\n", 2, "refresh_ms = 5: 10 to 3600000"),
        ("[status]\n\nport = 80\n", 3, "unknown key port in [status]"),
        ("[audit]\ndir =\n", 2, "dir = : no folder"),
        ("[capture]\nfiles = 1\n", 2, "files = 1: at least 2"),
        ("\n[capture]\nfile_kb = 200\n", 2, "4 files of 200 KiB"),
        ("[capture]\nfile_kb = 18446744073709551615\n", 1, "pass 1 MB"),
        ("[access]\nallow =\ndeny = 10.0.0.0/40\n", 3, "\"10.0.0.0/40\" is neither an address nor a CIDR"),
        ("[s]\n[t]\n[s]\n", 3, "[s] stands there twice"),
    ];
    assert_refused(Features::parse, &cases);
}

/// Operators have these files: each section and key must stay understood, in both forms.
#[test]
fn every_key_of_every_section_is_understood() {
    let sections = [
        ("status", "listen_port = 8600\nrefresh_ms = 500\n"),
        ("audit", "dir = /a\n"),
        ("capture", "files = 5\nfile_kb = 100\ndir = /c\n"),
        ("access", "allow = 10.0.0.0/8\ndeny = 10.1.0.0/16\nproxy_from = 10.2.0.0/16\n"),
        (
            "peers",
            "listen = 10.0.0.4:7946\nadvertise = 10.0.0.5:7946\ncontacts = 10.0.0.1:7946\ncluster = a\n\
             networks = 10.0.0.0/8\n",
        ),
        (
            "work",
            "voters = a, b, c\nnext_voters = c, d, e\nlease_ms = 2000\ndrain_s = 11\nforgotten_s = 12\n\
             alone_s = 13\nknown_s = 14\nback_s = 15\nlongest_s = 16\nhosts = 3\nhosts_zone = 4\nhosts_pod = 5\n\
             host_calls = 6\nmargin_percent = 70\n",
        ),
        (
            "shares",
            "voters = a, b, c\nnext_voters = c, d, e\nlease_ms = 3000\nalone_s = 21\nproxies_most = 4\n\
             own_percent = 30\nhost_calls = 7\nmargin_percent = 20\ncaps = x 40, others 20\n",
        ),
        ("state", "dir = /s\nold_s = 90\n"),
        ("log", "format = json\n"),
    ];
    let text: String = sections.iter().map(|(name, keys)| format!("[{name}]\n{keys}")).collect();
    let features = Features::parse(&text).expect("every key is understood");
    let second = 1_000_000;
    let work = features.maintenance.as_ref().expect("on");
    assert_eq!(
        (
            work.config.lease_duration,
            work.config.state_loss_timeout,
            work.config.autonomy_timeout,
            work.config.operator_timeout
        ),
        (2 * second, 12 * second, 13 * second, 14 * second)
    );
    assert_eq!((work.scheduler.max_drain_time, work.scheduler.max_recovery_time), (11 * second, 15 * second));
    let limits = &work.scheduler.limits;
    assert_eq!(
        (limits.max_duration, limits.max_total, limits.max_per_zone, limits.max_per_pod),
        (16 * second, 3, 4, 5)
    );
    assert_eq!((limits.calls_per_host, limits.load_margin), (6_000, 700));
    let shares = features.quota.as_ref().expect("on");
    assert_eq!((shares.lease, shares.autonomy_timeout), (3 * second, 21 * second));
    let quota = &shares.quota;
    assert_eq!((quota.max_proxies, quota.guaranteed_percent), (4, 30));
    assert_eq!((quota.calls_per_host, quota.margin_percent, quota.caps.len()), (7, 20, 2));
    let state = features.snapshot.as_ref().expect("on");
    assert_eq!((state.directory.to_str(), state.max_age.as_secs()), (Some("/s"), 90));
    let peers = features.peers.as_ref().expect("on");
    assert_eq!(
        (peers.listen.to_string(), peers.advertise.to_string()),
        ("10.0.0.4:7946".into(), "10.0.0.5:7946".into())
    );
    assert_eq!((peers.contacts.len(), peers.cluster.as_str(), peers.networks.len()), (1, "a", 1));
    let capture = features.capture.as_ref().expect("on");
    assert_eq!((capture.files, capture.file_bytes), (5, 100 << 10));
    assert_eq!(features.status.expect("on").listen_port, Some(8600));
    assert!(features.audit.is_some() && features.access.is_some());
    assert_eq!(features.log, Some(output::Form::Json));
    // As TOML the same; texts are quoted there.
    let quoted = |line: &str| match line.split_once(" = ") {
        Some((key, value)) if value.parse::<i64>().is_err() => format!("{key} = {value:?}\n"),
        _ => format!("{line}\n"),
    };
    let toml: String = text.lines().map(quoted).collect();
    assert_eq!(Features::parse_toml(&toml).as_ref(), Ok(&features));
}
