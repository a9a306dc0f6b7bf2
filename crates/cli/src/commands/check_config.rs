//! Checks the configuration of gateways before it is sent.

use std::fs;
use std::path;

use azuregap_core::code;
use azuregap_gateway::configuration;
use azuregap_host::configuration as document;
use azuregap_host::settings;
use serde::Serialize;

use crate::error;
use crate::exit;
use crate::render;

/// One finding, as it is told.
#[derive(Debug)]
#[derive(Serialize)]
struct Finding {
    path: String,
    value: String,
    code: u16,
    severity: &'static str,
    expected: String,
}

/// One difference to the version in force, as it is told.
#[derive(Debug)]
#[derive(Serialize)]
struct Difference {
    entry: String,
    change: String,
}

/// What was found.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    sound: bool,
    file: String,
    version: u64,
    findings: Vec<Finding>,
    /// `None` if no version in force was given, or the file can't be read.
    differences: Option<Vec<Difference>>,
}

/// Checks the configuration in `file` for the VMs with some `settings`, and compares it with the one
/// `in_force`.
///
/// # Errors
///
/// If a file can't be read, or the settings or the version in force are faulty themselves.
pub(super) fn check(
    file: &path::Path,
    in_force: Option<&path::Path>,
    settings: &[path::PathBuf],
    json: bool,
) -> error::CliResult<exit::Exit> {
    let reading = document::read(&read(file)?);
    let vms = settings.iter().map(|file| memory_of(file)).collect::<Result<Vec<_>, _>>()?;
    let vms: Vec<_> = vms.into_iter().flatten().collect();
    let mut found = reading.faults.clone();
    // What couldn't be read would be missed elsewhere.
    let is_readable = found.is_empty();
    if is_readable {
        found = configuration::check(&reading.draft, &vms, |place| reading.path_of(place));
    }
    let old = in_force.map(read_in_force).transpose()?.filter(|_| is_readable);
    if let Some(old) = old.as_ref().filter(|old| reading.draft.version <= old.version) {
        let place = configuration::Place {
            entry: configuration::Entry::Whole,
            field: configuration::Field::Version,
        };
        found.push(configuration::Finding {
            path: reading.path_of(place),
            value: reading.draft.version.to_string(),
            code: code::Code::PartsClash,
            severity: configuration::Severity::Error,
            expected: format!("more than {}, the version in force", old.version),
        });
    }
    let differences = old.map(|old| configuration::compare(&old, &reading.draft));
    let report = Report {
        sound: !found.iter().any(|finding| finding.severity == configuration::Severity::Error),
        file: file.display().to_string(),
        version: reading.draft.version,
        findings: found.into_iter().map(Finding::from).collect(),
        differences: differences.map(|all| all.into_iter().map(Difference::from).collect()),
    };
    report.print(json);
    Ok(if report.sound { exit::Exit::Done } else { exit::Exit::Faulty })
}

fn read(file: &path::Path) -> error::CliResult<Vec<u8>> {
    fs::read(file).map_err(|reason| unreadable(file, &reason))
}

fn unreadable(file: &path::Path, reason: &impl ToString) -> error::CliError {
    error::CliError::File(file.display().to_string(), reason.to_string())
}

/// Name and memory of the VM with some settings, if they name it.
fn memory_of(file: &path::Path) -> error::CliResult<Option<configuration::VmMemory>> {
    let text = fs::read_to_string(file).map_err(|reason| unreadable(file, &reason))?;
    let settings = settings::parse(&text).map_err(|reason| unreadable(file, &reason))?.gateway;
    Ok(settings.resources.memory.map(|memory| (settings.node, memory)))
}

/// Reads the version in force. Gateways serve it, so what can't be read means that it is another file.
fn read_in_force(file: &path::Path) -> error::CliResult<configuration::Draft> {
    let reading = document::read(&read(file)?);
    match reading.faults.first() {
        None => Ok(reading.draft),
        Some(fault) => {
            let reason = format!("at '{}': expected {}", fault.path, fault.expected);
            Err(unreadable(file, &reason))
        }
    }
}

impl Report {
    fn print(&self, json: bool) {
        if json {
            let value = serde_json::to_value(self).unwrap_or_default();
            return render::print(&value, true);
        }
        let verdict = if self.sound { "sound" } else { "faulty" };
        println!("{} (configuration {}): {verdict}", self.file, self.version);
        for finding in &self.findings {
            let Finding { path, value, code, severity, expected } = finding;
            println!("  {severity} {code} at '{path}', {value}: expected {expected}");
        }
        let Some(differences) = &self.differences else { return };
        println!("changes of the version in force: {}", differences.len());
        for Difference { entry, change } in differences {
            println!("  {entry}: {change}");
        }
    }
}

impl From<configuration::Finding> for Finding {
    fn from(finding: configuration::Finding) -> Self {
        Self {
            path: finding.path,
            value: finding.value,
            code: finding.code.number(),
            severity: finding.severity.name(),
            expected: finding.expected,
        }
    }
}

impl From<configuration::Difference> for Difference {
    fn from(difference: configuration::Difference) -> Self {
        Self { entry: difference.entry, change: difference.change }
    }
}
