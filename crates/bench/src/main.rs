//! Runs the measures, writes them and checks them against their bounds.

use std::path;
use std::process;

use azuregap_bench::bounds;
use azuregap_bench::deployment;
use azuregap_bench::measure;
use azuregap_bench::plot;
use azuregap_bench::report;
use azuregap_bench::scenario;
use azuregap_bench::slopes;
use azuregap_bench::system;
use clap::Parser;

/// Measures the policy in virtual time and checks the bounds.
#[derive(Debug)]
#[derive(Parser)]
struct Options {
    /// Where results.json and the plots go.
    #[arg(long, default_value = "target/bench")]
    out: path::PathBuf,
    /// Seeds over which the bounds must hold; the tables show the first.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
}

/// Scenarios in which the queue disciplines differ.
const CONTENDED: [scenario::Scenario; 4] = [
    scenario::Scenario::Capacity,
    scenario::Scenario::Overload,
    scenario::Scenario::LowerBurst,
    scenario::Scenario::TopBurst,
];

fn main() -> process::ExitCode {
    let options = Options::parse();
    let slopes = slopes::all();
    let mut results = report::Results { slopes, seeds: options.seeds, ..Default::default() };
    for deployment in [deployment::swan_coastal(), deployment::academy()] {
        run(&deployment, &mut results);
    }
    print(&results);
    if let Err(error) = write(&options.out, &results) {
        eprintln!("{error}");
        return process::ExitCode::FAILURE;
    }
    println!("written to {}", options.out.display());
    if results.hold() { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

fn run(deployment: &deployment::Deployment, results: &mut report::Results) {
    let first = results.seeds.first().copied().unwrap_or(1);
    for scenario in scenario::Scenario::ALL {
        let run = |system| scenario::run(deployment, scenario, system, first);
        results.routers.extend(system::System::ROUTERS.map(run));
    }
    for scenario in CONTENDED {
        let run = |system| scenario::run(deployment, scenario, system, first);
        results.disciplines.extend(system::System::DISCIPLINES.map(run));
    }
    for seed in &results.seeds {
        let run = |scenario| scenario::run(deployment, scenario, system::System::OURS, *seed);
        let measures: Vec<measure::Measure> = scenario::Scenario::ALL.map(run).into();
        results.checks.extend(bounds::check(&measures));
    }
}

fn print(results: &report::Results) {
    println!("Routers\n{}\n", report::measures(&results.routers));
    println!("Queue disciplines\n{}\n", report::measures(&results.disciplines));
    println!("Slopes\n{}\n", report::slopes(&results.slopes));
    println!("Bounds, seeds {:?}\n{}\n", results.seeds, report::checks(&results.checks));
}

fn write(out: &path::Path, results: &report::Results) -> Result<(), Box<dyn std::error::Error>> {
    results.write(out)?;
    for deployment in [deployment::swan_coastal(), deployment::academy()] {
        let name = deployment.name;
        let own = results.routers.iter().filter(|seen| seen.deployment == name);
        let measures: Vec<&measure::Measure> = own.collect();
        for class in deployment.model_classes() {
            let class_name = &deployment.work[class].class.name;
            let file = out.join(format!("{name}-{class_name}-attained.svg"));
            plot::attainment(&file, &format!("{name}: {class_name}"), &measures, class)?;
        }
        let file = out.join(format!("{name}-goodput.svg"));
        plot::goodput(&file, &format!("{name}: goodput"), &measures)?;
    }
    Ok(())
}
