//! The operators' own file: an INI or TOML file that switches features on, beside the platform's configuration. It
//! is read at start only, and whatever in it is not understood ends the start.

use crate::{access, audit, capture, output, status};
use ini_core::{Item, Parser};
use ochrepond::Access;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::path::Path;
use std::str::FromStr;
use toml::{Spanned, Value};

/// The features that are on, with their settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Features {
    /// The status page.
    pub status: Option<status::Settings>,
    /// The audit trail.
    pub audit: Option<audit::Settings>,
    /// Capture.
    pub capture: Option<capture::Settings>,
    /// Address lists.
    pub access: Option<Access>,
    /// The log's form.
    pub log: Option<output::Form>,
}

/// What is wrong with the file, and in which line.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    line: u32,
    reason: String,
}

impl Problem {
    fn new(line: u32, reason: impl Into<String>) -> Problem {
        Problem { line, reason: reason.into() }
    }
}

/// A key with its value.
struct Entry {
    line: u32,
    key: String,
    value: String,
}

/// A section of the file, from which its feature takes what it knows.
pub struct Section {
    line: u32,
    name: String,
    entries: Vec<Entry>,
}

impl Section {
    /// The value of a key, if it is there.
    pub fn take<T: FromStr<Err: Display>>(&mut self, key: &str) -> Result<Option<T>, Problem> {
        self.take_if(key, |_| Ok(()))
    }

    /// The same, where a value must also be `good`.
    pub fn take_if<T: FromStr<Err: Display>>(
        &mut self,
        key: &str,
        good: impl FnOnce(&T) -> Result<(), String>,
    ) -> Result<Option<T>, Problem> {
        let Some(place) = self.entries.iter().position(|entry| entry.key == key) else { return Ok(None) };
        let Entry { line, value, .. } = self.entries.remove(place);
        let bad = |reason: String| Problem::new(line, format!("{key} = {value}: {reason}"));
        let read = value.parse().map_err(|e: T::Err| bad(e.to_string()))?;
        good(&read).map_err(bad)?;
        Ok(Some(read))
    }

    /// What is wrong with the section as a whole.
    pub fn problem(&self, reason: impl Into<String>) -> Problem {
        Problem::new(self.line, format!("[{}]: {}", self.name, reason.into()))
    }

    /// Whether all has been taken.
    fn finish(self) -> Result<(), Problem> {
        match self.entries.first() {
            Some(Entry { line, key, .. }) => {
                Err(Problem::new(*line, format!("unknown key {key} in [{}]", self.name)))
            }
            None => Ok(()),
        }
    }
}

impl Features {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Features, String> {
        let file = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
        let is_toml = path.extension().is_some_and(|extension| extension == "toml");
        let features = if is_toml { Features::parse_toml(&text) } else { Features::parse(&text) };
        features.map_err(|problem| format!("{file}:{}: {}", problem.line, problem.reason))
    }

    /// Reads an INI file's text.
    pub fn parse(text: &str) -> Result<Features, Problem> {
        Features::of(sections(text)?)
    }

    /// Reads a TOML file's text: the same sections and keys, lists as arrays.
    pub fn parse_toml(text: &str) -> Result<Features, Problem> {
        Features::of(tables(text)?)
    }

    fn of(sections: Vec<Section>) -> Result<Features, Problem> {
        let mut features = Features::default();
        for mut section in sections {
            match section.name.as_str() {
                "status" => features.status = Some(status::Settings::read(&mut section)?),
                "audit" => features.audit = Some(audit::Settings::read(&mut section)?),
                "capture" => features.capture = Some(capture::Settings::read(&mut section)?),
                "access" => features.access = Some(access::read(&mut section)?),
                "log" => features.log = Some(section.take("format")?.unwrap_or_default()),
                name => return Err(Problem::new(section.line, format!("unknown section [{name}]"))),
            }
            section.finish()?;
        }
        Ok(features)
    }
}

/// Whether a folder is named at all.
pub fn named(dir: &Path) -> Result<(), String> {
    if dir.as_os_str().is_empty() {
        return Err("no folder".to_owned());
    }
    Ok(())
}

/// The tables of a TOML text as sections, with the lines at which keys stand.
fn tables(text: &str) -> Result<Vec<Section>, Problem> {
    type Table<T> = BTreeMap<Spanned<String>, T>;
    let line =
        |at: usize| text.as_bytes()[..at.min(text.len())].iter().filter(|&&b| b == b'\n').count() as u32 + 1;
    let tables: Table<Table<Spanned<Value>>> = toml::from_str(text).map_err(|error| {
        Problem::new(line(error.span().map_or(0, |span| span.start)), error.message().to_owned())
    })?;
    let mut sections = Vec::new();
    for (name, table) in tables {
        let mut section =
            Section { line: line(name.span().start), name: name.into_inner(), entries: Vec::new() };
        for (key, value) in table {
            let line = line(key.span().start);
            let key = key.into_inner();
            let Some(value) = plain(value.get_ref()) else {
                return Err(Problem::new(line, format!("{key} is neither a plain value nor a list of such")));
            };
            section.entries.push(Entry { line, key, value });
        }
        sections.push(section);
    }
    Ok(sections)
}

/// A value as an INI file has it.
fn plain(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Integer(_) | Value::Float(_) | Value::Boolean(_) => Some(value.to_string()),
        Value::Array(values) => values.iter().map(plain).collect::<Option<Vec<_>>>().map(|v| v.join(", ")),
        Value::Datetime(_) | Value::Table(_) => None,
    }
}

/// The sections of a text, each once and each of its keys once.
fn sections(text: &str) -> Result<Vec<Section>, Problem> {
    let mut sections: Vec<Section> = Vec::new();
    let mut parser = Parser::new(text.trim_start_matches('\u{feff}')).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        match parser.next() {
            None => return Ok(sections),
            Some(Item::SectionEnd | Item::Comment(_) | Item::Blank) => {}
            Some(Item::Section(name)) => {
                if sections.iter().any(|section| section.name == name) {
                    return Err(Problem::new(line, format!("[{name}] stands there twice")));
                }
                sections.push(Section { line, name: name.to_owned(), entries: Vec::new() });
            }
            Some(Item::Property(key, _)) if key.starts_with(['#', ';']) => {}
            Some(Item::Property(key, Some(value))) => {
                let Some(section) = sections.last_mut() else {
                    return Err(Problem::new(line, format!("{key} stands in no section")));
                };
                if section.entries.iter().any(|entry| entry.key == key) {
                    return Err(Problem::new(line, format!("{key} stands there twice")));
                }
                section.entries.push(Entry { line, key: key.to_owned(), value: value.to_owned() });
            }
            Some(Item::Error(text) | Item::Property(text, None)) => {
                return Err(Problem::new(line, format!("neither a section nor a key = value: {text}")));
            }
        }
    }
}

#[cfg(test)]
mod tests {
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
        let ini =
            "[status]\nlisten_port = 8600\n[access]\ndeny = 10.0.0.0/8, fd00::/8\n[log]\nformat = json\n";
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
        for (text, line, reason) in cases {
            let problem = Features::parse_toml(text).expect_err(text);
            assert!(problem.line == line && problem.reason.contains(reason), "{text}: {problem:?}");
        }
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
            (
                "[access]\nallow =\ndeny = 10.0.0.0/40\n",
                3,
                "\"10.0.0.0/40\" is neither an address nor a CIDR",
            ),
            ("[s]\n[t]\n[s]\n", 3, "[s] stands there twice"),
        ];
        for (text, line, reason) in cases {
            let problem = Features::parse(text).expect_err(text);
            assert_eq!(problem.line, line, "{text}: {problem:?}");
            assert!(problem.reason.contains(reason), "{text}: {problem:?}");
        }
    }
}
