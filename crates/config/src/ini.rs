//! Reads INI files key by key and reports every fault with its file, line and key.

use std::fmt::Display;
use std::fmt::Write as _;
use std::time::Duration;

use ini::Ini;
use ini::ParseOption;

use sassafras_util::Error;

/// One `key = value` of a file.
#[derive(Clone, Debug)]
struct Entry {
    section: Box<str>,
    key: Box<str>,
    value: Box<str>,
    line: usize,
    taken: bool,
}

/// An INI file whose keys are taken one by one; what is left over is an error.
#[derive(Clone, Debug)]
pub struct IniDoc {
    file: Box<str>,
    entries: Vec<Entry>,
    effective: Vec<(Box<str>, Box<str>, Box<str>)>,
}

impl IniDoc {
    /// Parses `text`; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Fails on malformed lines and on keys that are given twice.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        // Values are literal, so that canonical text reads back as the same values.
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|e| Error::new(e).context(file))?;
        let lines = Lines::new(text);
        let mut entries = Vec::<Entry>::new();
        for (section, properties) in &ini {
            let section = section.unwrap_or("");
            for (key, value) in properties {
                let nth = entries
                    .iter()
                    .filter(|e| &*e.section == section && &*e.key == key)
                    .count();
                let line = lines.find(section, key, nth);
                if nth > 0 {
                    return Err(Error::new(format!(
                        "{file}:{line}: [{section}] {key}: given twice"
                    )));
                }
                entries.push(Entry {
                    section: section.into(),
                    key: key.into(),
                    value: value.into(),
                    line,
                    taken: false,
                });
            }
        }
        Ok(Self {
            file: file.into(),
            entries,
            effective: Vec::new(),
        })
    }

    /// Returns the names of the sections that have keys, in file order, each once.
    pub fn sections(&self) -> Vec<String> {
        let mut names = Vec::<String>::new();
        for entry in &self.entries {
            if !names.iter().any(|n| **n == *entry.section) {
                names.push(entry.section.to_string());
            }
        }
        names
    }

    /// Returns the section and name of each key, in file order.
    pub fn keys(&self) -> Vec<(String, String)> {
        let key = |e: &Entry| (e.section.to_string(), e.key.to_string());
        self.entries.iter().map(key).collect()
    }

    /// Returns section, name and line of each key that has not been taken.
    pub fn untaken_keys(&self) -> Vec<(String, String, usize)> {
        let left = self.entries.iter().filter(|e| !e.taken);
        left.map(|e| (e.section.to_string(), e.key.to_string(), e.line))
            .collect()
    }

    /// Takes a required key.
    ///
    /// # Errors
    ///
    /// Fails when the key is missing, or when `parse` returns `None`; `accepted` then tells
    /// the reader what would be valid.
    pub fn take<T>(
        &mut self,
        section: &str,
        key: &str,
        accepted: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T, Error> {
        match self.take_optional(section, key, accepted, parse)? {
            Some(value) => Ok(value),
            None => Err(Error::new(format!(
                "{}: [{section}] {key}: missing; accepted: {accepted}",
                self.file
            ))),
        }
    }

    /// Takes a key, or returns `default` when it is not given.
    ///
    /// # Errors
    ///
    /// Fails when the key is given and `parse` returns `None`.
    pub fn take_or<T: Display>(
        &mut self,
        section: &str,
        key: &str,
        accepted: &str,
        default: T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T, Error> {
        if let Some(value) = self.take_optional(section, key, accepted, parse)? {
            return Ok(value);
        }
        self.note(section, key, &default.to_string());
        Ok(default)
    }

    /// Takes a duration in whole milliseconds, within bounds given in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails when the key is given and is not a whole number within the bounds.
    pub fn take_ms(
        &mut self,
        section: &str,
        key: &str,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<Duration, Error> {
        let accepted = format!("{} to {} milliseconds", bounds.start(), bounds.end());
        let parse = |t: &str| t.parse().ok().filter(|n| bounds.contains(n));
        self.take_or(section, key, &accepted, default, parse)
            .map(Duration::from_millis)
    }

    /// Takes a key if it is given.
    ///
    /// # Errors
    ///
    /// Fails when the key is given and `parse` returns `None`.
    pub fn take_optional<T>(
        &mut self,
        section: &str,
        key: &str,
        accepted: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<Option<T>, Error> {
        let found = self
            .entries
            .iter_mut()
            .find(|e| &*e.section == section && &*e.key == key);
        let Some(entry) = found else { return Ok(None) };
        entry.taken = true;
        let value = entry.value.clone();
        let Some(parsed) = parse(&value) else {
            return Err(Error::new(format!(
                "{}:{}: [{section}] {key}: {value:?} is not valid; accepted: {accepted}",
                self.file, entry.line
            )));
        };
        self.note(section, key, &value);
        Ok(Some(parsed))
    }

    /// Checks that every key has been taken.
    ///
    /// # Errors
    ///
    /// Names the first unknown key and its line.
    pub fn finish(&self) -> Result<(), Error> {
        match self.entries.iter().find(|e| !e.taken) {
            None => Ok(()),
            Some(e) => Err(Error::new(format!(
                "{}:{}: [{}] {}: unknown key; accepted in this section: {}",
                self.file,
                e.line,
                e.section,
                e.key,
                self.known_keys(&e.section)
            ))),
        }
    }

    /// Returns an error for a key whose value is valid alone but contradicts another.
    pub fn key_error(&self, section: &str, key: &str, reason: &str) -> Error {
        let line = self
            .line(section, key)
            .map_or(String::new(), |l| format!(":{l}"));
        Error::new(format!("{}{line}: [{section}] {key}: {reason}", self.file))
    }

    /// Returns the line of a key, if it is given.
    pub fn line(&self, section: &str, key: &str) -> Option<usize> {
        self.entries
            .iter()
            .find(|e| &*e.section == section && &*e.key == key)
            .map(|e| e.line)
    }

    /// Returns the values in force so far, defaults included, as INI text.
    pub fn effective(&self) -> String {
        let mut sections = Vec::<&str>::new();
        for (section, _, _) in &self.effective {
            if !sections.contains(&&**section) {
                sections.push(section);
            }
        }
        let mut text = String::new();
        for section in sections {
            if !section.is_empty() {
                let _ = writeln!(text, "[{section}]");
            }
            for (_, key, value) in self.effective.iter().filter(|(s, _, _)| &**s == section) {
                let _ = writeln!(text, "{key} = {value}");
            }
        }
        text
    }

    fn note(&mut self, section: &str, key: &str, value: &str) {
        self.effective
            .push((section.into(), key.into(), value.into()));
    }

    fn known_keys(&self, section: &str) -> String {
        let keys: Vec<&str> = self
            .effective
            .iter()
            .filter(|(s, _, _)| &**s == section)
            .map(|(_, k, _)| &**k)
            .collect();
        if keys.is_empty() {
            "none".to_owned()
        } else {
            keys.join(", ")
        }
    }
}

/// The lines on which keys stand; the INI library does not report them.
struct Lines(Vec<(String, String, usize)>);

impl Lines {
    fn new(text: &str) -> Self {
        let mut section = String::new();
        let mut lines = Vec::new();
        for (number, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
                name.trim().clone_into(&mut section);
            } else if let Some((key, _)) = line.split_once(['=', ':']) {
                lines.push((section.clone(), key.trim().to_owned(), number + 1));
            }
        }
        Self(lines)
    }

    fn find(&self, section: &str, key: &str, nth: usize) -> usize {
        let mut matches = self.0.iter().filter(|(s, k, _)| s == section && k == key);
        matches.nth(nth).map_or(0, |(_, _, line)| *line)
    }
}
