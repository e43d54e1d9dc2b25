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
