//! The form of the operators' file: sections of keys and values, as INI or TOML.

use ini_core::{Item, Parser};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt::Display;
use std::str::FromStr;
use toml::{Spanned, Value};

/// What is wrong with the file, and in which line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct Problem {
    /// Where.
    pub line: u32,
    /// What.
    pub reason: String,
}

impl Problem {
    /// A problem at a line.
    pub fn new(line: u32, reason: impl Into<String>) -> Problem {
        Problem { line, reason: reason.into() }
    }
}

/// Has each text refused at its line, for its reason.
#[cfg(test)]
pub fn assert_refused<T: std::fmt::Debug>(
    read: fn(&str) -> Result<T, Problem>,
    cases: &[(impl AsRef<str>, u32, &str)],
) {
    for (text, line, reason) in cases {
        let text = text.as_ref();
        let problem = read(text).expect_err(text);
        assert!(problem.line == *line && problem.reason.contains(reason), "{text}: {problem:?}");
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
    /// Where it begins.
    pub line: u32,
    /// Its name.
    pub name: String,
    entries: Vec<Entry>,
}

impl Section {
    /// The value of a key, if it is there.
    pub fn take<T: FromStr<Err: Display>>(&mut self, key: &str) -> Result<Option<T>, Problem> {
        self.take_if(key, |_| Ok::<_, Infallible>(()))
    }

    /// The same, where a value must also be `good`.
    pub fn take_if<T: FromStr<Err: Display>, E: Display>(
        &mut self,
        key: &str,
        good: impl FnOnce(&T) -> Result<(), E>,
    ) -> Result<Option<T>, Problem> {
        let Some(place) = self.entries.iter().position(|entry| entry.key == key) else { return Ok(None) };
        let Entry { line, value, .. } = self.entries.remove(place);
        let bad = |reason: String| Problem::new(line, format!("{key} = {value}: {reason}"));
        let read = value.parse().map_err(|e: T::Err| bad(e.to_string()))?;
        good(&read).map_err(|e| bad(e.to_string()))?;
        Ok(Some(read))
    }

    /// Where a key stands; where it does not, the section.
    pub fn line_of(&self, key: &str) -> u32 {
        self.entries.iter().find(|entry| entry.key == key).map_or(self.line, |entry| entry.line)
    }

    /// What is wrong with the section as a whole.
    pub fn problem(&self, reason: impl Into<String>) -> Problem {
        Problem::new(self.line, format!("[{}]: {}", self.name, reason.into()))
    }

    /// Whether all has been taken.
    pub fn finish(self) -> Result<(), Problem> {
        match self.entries.first() {
            Some(Entry { line, key, .. }) => {
                Err(Problem::new(*line, format!("unknown key {key} in [{}]", self.name)))
            }
            None => Ok(()),
        }
    }
}

/// The tables of a TOML text as sections, with the lines at which keys stand.
pub fn tables(text: &str) -> Result<Vec<Section>, Problem> {
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
pub fn sections(text: &str) -> Result<Vec<Section>, Problem> {
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
