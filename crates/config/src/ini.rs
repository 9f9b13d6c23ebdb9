//! INI files that are read key by key. Errors contain the file, line and key.

use std::fmt::Display;
use std::fmt::Write as _;
use std::time::Duration;

use ini::Ini;
use ini::ParseOption;

use sassafras_util::Error;

/// Accepted range of `drain_ms` and other times of a stopping process.
pub const DRAIN_RANGE_MS: std::ops::RangeInclusive<u64> = 0..=600_000;
/// Longest drain unless the settings say otherwise.
const DEFAULT_DRAIN_MS: u64 = 60_000;
/// A process stops this long before the end of its grace period, when it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(500);

/// A `key = value` line of a file.
#[derive(Clone, Debug)]
struct Entry {
    section: Box<str>,
    key: Box<str>,
    value: Box<str>,
    line: usize,
    taken: bool,
}

/// An INI file whose keys are taken one by one. Keys that remain are errors.
#[derive(Clone, Debug)]
pub struct IniDoc {
    file: Box<str>,
    entries: Vec<Entry>,
    /// Section, key and value of each key read so far, including defaults.
    effective: Vec<(Box<str>, Box<str>, Box<str>)>,
}

impl IniDoc {
    /// Parses `text`. Errors refer to it as `file`.
    ///
    /// # Errors
    ///
    /// Fails on malformed lines and on duplicate keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        // Without escapes and quotes, canonical text is parsed into the same values again.
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|e| Error::new(e).context(file))?;
        let lines = LineIndex::new(text);
        let mut entries = Vec::<Entry>::new();
        for (section, properties) in &ini {
            let section = section.unwrap_or("");
            for (key, value) in properties {
                let earlier = entries
                    .iter()
                    .filter(|e| &*e.section == section && &*e.key == key)
                    .count();
                let line = lines.find(section, key, earlier);
                if earlier > 0 {
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

    /// Returns the distinct names of the sections that have keys, in file order.
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
        let untaken = self.entries.iter().filter(|e| !e.taken);
        untaken
            .map(|e| (e.section.to_string(), e.key.to_string(), e.line))
            .collect()
    }

    /// Takes a required key.
    ///
    /// # Errors
    ///
    /// Fails when the key is missing, or when `parse` returns `None`. The error contains `accepted`,
    /// a description of the valid values.
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

    /// Takes a key, or returns `default` when it is missing.
    ///
    /// # Errors
    ///
    /// Fails when the key is present and `parse` returns `None`.
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
        self.record(section, key, &default.to_string());
        Ok(default)
    }

    /// Takes a duration in whole milliseconds. `bounds` and `default` are in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails when the key is present and is not a whole number within the bounds.
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

    /// Takes the time that a process may take to stop, from `drain_ms`, or from `grace_s`, the seconds
    /// after which it is killed.
    ///
    /// # Errors
    ///
    /// Fails when the key is present and its value is out of range.
    pub fn take_drain(&mut self, section: &str) -> Result<Duration, Error> {
        let accepted = "seconds from 1 to 600";
        let grace = self.take_optional(section, "grace_s", accepted, |t| {
            t.parse().ok().filter(|s| (1.0..=600.0).contains(s))
        })?;
        match grace {
            Some(seconds) => Ok(Duration::from_secs_f64(seconds).saturating_sub(KILL_MARGIN)),
            None => self.take_ms(section, "drain_ms", DRAIN_RANGE_MS, DEFAULT_DRAIN_MS),
        }
    }

    /// Takes a key if it is present.
    ///
    /// # Errors
    ///
    /// Fails when the key is present and `parse` returns `None`.
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
        self.record(section, key, &value);
        Ok(Some(parsed))
    }

    /// Checks that every key has been taken.
    ///
    /// # Errors
    ///
    /// Fails when a key has not been taken. The error contains the first such key and its line.
    pub fn finish(&self) -> Result<(), Error> {
        match self.entries.iter().find(|e| !e.taken) {
            None => Ok(()),
            Some(e) => Err(Error::new(format!(
                "{}:{}: [{}] {}: unknown key; accepted in this section: {}",
                self.file,
                e.line,
                e.section,
                e.key,
                self.accepted_keys(&e.section)
            ))),
        }
    }

    /// Returns an error with the file, the line and the name of a key, for a fault that shows only
    /// after the key was taken, such as a conflict with another value.
    pub fn key_error(&self, section: &str, key: &str, reason: &str) -> Error {
        let line = self
            .line(section, key)
            .map_or(String::new(), |l| format!(":{l}"));
        Error::new(format!("{}{line}: [{section}] {key}: {reason}", self.file))
    }

    /// Returns the line of a key, if it is present.
    pub fn line(&self, section: &str, key: &str) -> Option<usize> {
        self.entries
            .iter()
            .find(|e| &*e.section == section && &*e.key == key)
            .map(|e| e.line)
    }

    /// Returns the effective values of all keys read so far, including defaults, as INI text.
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

    fn record(&mut self, section: &str, key: &str, value: &str) {
        self.effective
            .push((section.into(), key.into(), value.into()));
    }

    fn accepted_keys(&self, section: &str) -> String {
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

/// Section, key and line of each key. `rust-ini` does not report line numbers.
struct LineIndex(Vec<(String, String, usize)>);

impl LineIndex {
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

    /// Returns the line of the `nth` occurrence of a key, or 0 if there is none.
    fn find(&self, section: &str, key: &str, nth: usize) -> usize {
        let mut matches = self.0.iter().filter(|(s, k, _)| s == section && k == key);
        matches.nth(nth).map_or(0, |(_, _, line)| *line)
    }
}
