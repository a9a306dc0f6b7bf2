//! Every shipped example is valid, on its own and together with its deployment.

use std::fs;
use std::path;

use azuregap_core::intent;
use azuregap_core::settings;
use googletest::prelude::*;

fn deployment(name: &str) -> settings::Deployment {
    let directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    let mut deployment = settings::Deployment::default();
    for file in fs::read_dir(directory).unwrap() {
        let path = file.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        let text = fs::read_to_string(&path).unwrap();
        match name.split('-').next() {
            Some("entry") => {
                deployment.entries.push((name, settings::from_text(&text).unwrap()));
            }
            Some("agent") => {
                deployment.agents.push((name, settings::from_text(&text).unwrap()));
            }
            _ => deployment.intent = Some((name, settings::from_text(&text).unwrap())),
        }
    }
    deployment
}

fn faults(deployment: &settings::Deployment) -> Vec<(&str, intent::Fault)> {
    let (name, intent) = deployment.intent.as_ref().unwrap();
    let intents = intent.check().into_iter().map(|fault| (name.as_str(), fault));
    let entries = deployment.entries.iter().flat_map(|(name, entry)| {
        entry.check().into_iter().map(move |fault| (name.as_str(), fault))
    });
    let agents = deployment.agents.iter().flat_map(|(name, agent)| {
        agent.check().into_iter().map(move |fault| (name.as_str(), fault))
    });
    let cross_document = deployment.check().into_iter().map(|fault| ("deployment", fault));
    intents.chain(entries).chain(agents).chain(cross_document).collect()
}

#[gtest]
fn swan_coastal_example_is_valid() {
    let deployment = deployment("swan-coastal");
    expect_that!(deployment.entries, len(eq(3)));
    expect_that!(deployment.agents, len(eq(2)));
    expect_that!(faults(&deployment), is_empty());
}

#[gtest]
fn academy_example_is_valid() {
    let deployment = deployment("academy");
    expect_that!(deployment.entries, len(eq(3)));
    expect_that!(deployment.agents, len(eq(2)));
    expect_that!(faults(&deployment), is_empty());
}
