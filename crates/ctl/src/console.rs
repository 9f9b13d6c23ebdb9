//! Text and JSON output.

use std::fmt::Display;
use std::io;
use std::io::Write;

use serde_json::Value;
use serde_json::json;

use sassafras_config::Finding;

/// Output streams and format of a command.
pub(crate) struct Console<'a> {
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
    pub(crate) json: bool,
}

impl Console<'_> {
    /// Prints the result to standard output, as text or as one JSON value.
    pub(crate) fn print_result(&mut self, text: impl Display, json: &Value) -> io::Result<()> {
        if self.json {
            writeln!(self.out, "{json:#}")
        } else {
            write!(self.out, "{text}")
        }
    }

    /// Prints a line to standard error.
    pub(crate) fn print_note(&mut self, text: impl Display) -> io::Result<()> {
        writeln!(self.err, "{text}")
    }

    /// Prints each finding on its own line to standard error.
    pub(crate) fn print_findings(&mut self, findings: &[Finding]) -> io::Result<()> {
        findings.iter().try_for_each(|f| self.print_note(f))
    }
}

pub(crate) fn findings_json(findings: &[Finding]) -> Value {
    let finding = |f: &Finding| json!({"severity": f.severity.to_string(), "text": f.text});
    findings.iter().map(finding).collect()
}

/// Formats rows as left-aligned columns below a header.
pub(crate) fn format_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let line = |cells: [&str; N]| {
        let padded = cells.iter().zip(widths).map(|(c, w)| format!("{c:w$}"));
        let line: Vec<String> = padded.collect();
        format!("{}\n", line.join("  ").trim_end())
    };
    let rows = rows.iter().map(|row| line(row.each_ref().map(|c| &**c)));
    let mut text = line(header);
    text.extend(rows);
    text
}
