//! Checks files without starting anything.

use std::path;

use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::settings;
use serde::Serialize;

use crate::documents;
use crate::error;
use crate::exit;
use crate::render;

/// The kind of the document that a deployment has once.
const INTENT: &str = "intent";

/// What was found in one file.
#[derive(Debug)]
#[derive(Serialize)]
struct FileReport {
    file: String,
    kind: &'static str,
    faults: Vec<Finding>,
}

/// One fault, as it is told.
#[derive(Debug)]
#[derive(Serialize)]
struct Finding {
    path: String,
    code: u16,
    message: String,
}

/// What was found in all files.
#[derive(Debug)]
#[derive(Serialize)]
struct Report {
    sound: bool,
    files: Vec<FileReport>,
    together: Vec<Finding>,
}

/// Checks each of `files`, and all of them against each other.
pub(super) fn check(files: &[path::PathBuf], json: bool) -> exit::Exit {
    let mut deployment = settings::Deployment::default();
    let files: Vec<_> = files.iter().map(|file| check_file(file, &mut deployment)).collect();
    let mut together: Vec<_> = deployment.check().iter().map(Finding::from).collect();
    let intents = files.iter().filter(|file| file.kind == INTENT).skip(1);
    together.extend(intents.map(|file| Finding::second_intent(&file.file)));
    let mut report = Report { sound: true, files, together };
    let faulty = |file: &FileReport| !file.faults.is_empty();
    report.sound = !report.files.iter().any(faulty) && report.together.is_empty();
    report.print(json);
    if report.sound { exit::Exit::Done } else { exit::Exit::Faulty }
}

fn check_file(path: &path::Path, deployment: &mut settings::Deployment) -> FileReport {
    let file = path.display().to_string();
    let document = match documents::Document::read(path) {
        Ok(document) => document,
        Err(error) => return FileReport { file, kind: "unknown", faults: vec![error.into()] },
    };
    let kind = document.kind();
    let faults = document.check().iter().map(Finding::from).collect();
    match document {
        documents::Document::Entry(entry) => deployment.entries.push((file.clone(), entry)),
        documents::Document::Agent(agent) => deployment.agents.push((file.clone(), agent)),
        documents::Document::Intent(intent) => {
            deployment.intent.get_or_insert((file.clone(), intent));
        }
    }
    FileReport { file, kind, faults }
}

impl Report {
    fn print(&self, json: bool) {
        if json {
            let value = serde_json::to_value(self).unwrap_or_default();
            return render::print(&value, true);
        }
        for file in &self.files {
            let verdict = if file.faults.is_empty() { "sound" } else { "faulty" };
            println!("{} ({}): {verdict}", file.file, file.kind);
            file.faults.iter().for_each(Finding::print);
        }
        if !self.together.is_empty() {
            println!("together: faulty");
            self.together.iter().for_each(Finding::print);
        }
    }
}

impl Finding {
    fn second_intent(file: &str) -> Self {
        let message = "expected one intent: check each deployment by itself".to_owned();
        Self { path: file.to_owned(), code: code::Code::PartsClash.number(), message }
    }

    fn print(&self) {
        println!("  {} at '{}': {}", self.code, self.path, self.message);
    }
}

impl From<&intent::Fault> for Finding {
    fn from(fault: &intent::Fault) -> Self {
        let message = format!("expected {}", fault.expected);
        Self { path: fault.path.clone(), code: fault.code.number(), message }
    }
}

impl From<error::CliError> for Finding {
    fn from(error: error::CliError) -> Self {
        match error {
            error::CliError::Document(_, settings::LoadError::Invalid(fault)) => {
                Self { path: fault.path, code: fault.code.number(), message: fault.expected }
            }
            error::CliError::File(_, reason) => {
                let code = code::Code::FileUnreadable.number();
                Self { path: ".".to_owned(), code, message: reason }
            }
            other => {
                let code = code::Code::Internal.number();
                Self { path: ".".to_owned(), code, message: other.to_string() }
            }
        }
    }
}
