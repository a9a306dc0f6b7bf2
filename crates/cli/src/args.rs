//! The command line and its help texts.

use std::path;
use std::time;

use azuregap_core::ids;
use azuregap_core::key;
use clap::Parser;
use clap::Subcommand;

use crate::load;

const EXIT_CODES: &str = "Exit codes: 0 done or sound; 1 faults found, or refused; 2 wrong command \
line or environment; 3 the entry cannot be reached or did not answer.";

/// The command line of azuregap, a router for language-model traffic.
#[derive(Debug, Parser)]
#[command(name = "azuregap", version, after_help = EXIT_CODES)]
pub(crate) struct Args {
    /// Answer in JSON instead of tables
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// What to do
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check settings and intents without starting anything
    ///
    /// Each file is the settings of an entry or an agent, or an intent; which one is told by its
    /// fields. Several files are checked against each other as well.
    #[command(after_help = EXIT_CODES)]
    Check {
        /// JSON files
        #[arg(required = true, value_name = "FILE")]
        files: Vec<path::PathBuf>,
    },
    /// Check the configuration of gateways before it is sent
    ///
    /// Names errors with field, value and what is expected, entries that can never match, and limits
    /// that contradict each other. Warnings of parts without an effect don't change the exit code.
    #[command(after_help = EXIT_CODES)]
    CheckConfig {
        /// JSON file with the configuration as it would be sent
        #[arg(value_name = "FILE")]
        file: path::PathBuf,
        /// JSON file with the version in force; what differs is told
        #[arg(long, value_name = "FILE")]
        in_force: Option<path::PathBuf>,
        /// Settings file of a gateway, whose memory must hold the longest body; may be repeated
        #[arg(long, value_name = "FILE")]
        settings: Vec<path::PathBuf>,
    },
    /// Ask what an intent would start, stop, move or refuse, and at what cost
    ///
    /// Nothing changes until the plan is confirmed.
    Plan {
        /// JSON file with the whole intent
        #[arg(value_name = "FILE")]
        file: path::PathBuf,
        #[command(flatten)]
        operator: Operator,
    },
    /// Put a plan in force
    ///
    /// Confirming a plan twice has one effect. A plan made before another change was accepted is
    /// refused; so is one that has expired.
    Confirm {
        /// Id of the plan, as `plan` told it
        #[arg(value_name = "ID")]
        id: ids::PlanId,
        #[command(flatten)]
        operator: Operator,
    },
    /// List the plans, or show one
    Plans {
        /// Id of one plan
        #[arg(value_name = "ID")]
        id: Option<ids::PlanId>,
        #[command(flatten)]
        operator: Operator,
    },
    /// Print the intent in force, with its version
    Intent {
        #[command(flatten)]
        operator: Operator,
    },
    /// Give, withdraw and list the keys of teams
    #[command(subcommand)]
    Keys(KeysCommand),
    /// Show what an entry knows: lease, versions, agents
    Status {
        #[command(flatten)]
        operator: Operator,
    },
    /// Show usage windows, or one window by team
    Usage {
        /// Number of the window since the epoch
        #[arg(value_name = "WINDOW")]
        window: Option<u64>,
        #[command(flatten)]
        operator: Operator,
    },
    /// Tell from the gateways' logs what happened to a request
    ///
    /// Prints its lines in the order of time, over all processes, and the cause of its end. Exit
    /// code 1 if no line names it.
    Explain {
        /// Id of the request
        #[arg(value_name = "ID")]
        request: String,
        /// Logs, one or more for each gateway
        #[arg(required = true, value_name = "LOG")]
        files: Vec<path::PathBuf>,
    },
    /// Sum up from the gateways' logs what went wrong
    ///
    /// Counts starts and stops, lost dependencies, versions and changes of backend servers, and the
    /// requests that were not served by their cause.
    Incident {
        /// Logs, one or more for each gateway
        #[arg(required = true, value_name = "LOG")]
        files: Vec<path::PathBuf>,
    },
    /// Table of lost and late requests from the gateways' logs
    ///
    /// By cause and service, with the gateways and backend servers concerned, and the seconds in
    /// which the largest share was lost. Lines that the gateways left out are counted.
    Report {
        /// Logs, one or more for each gateway
        #[arg(required = true, value_name = "LOG")]
        files: Vec<path::PathBuf>,
    },
    /// Send a bounded load to an entry and measure it
    ///
    /// Requests leave at random times at the rate asked for, whether or not earlier ones were
    /// answered, and each is timed from the time it was due. The key of the calling team is read
    /// from the environment variable AZUREGAP_KEY.
    Load(LoadArgs),
    /// Run the main job on embedded stand-ins and show one request of each class
    ///
    /// Platform, backend servers, agents and two entries run in this process, on loopback.
    Demo(DemoArgs),
}

/// Commands on keys.
#[derive(Debug, Subcommand)]
pub(crate) enum KeysCommand {
    /// Make a new key for a team and print it once; only its digest leaves this machine
    Give {
        /// Team the key is for
        #[arg(value_name = "TEAM")]
        team: ids::TeamId,
        #[command(flatten)]
        operator: Operator,
    },
    /// Withdraw the key that has a digest
    Withdraw {
        /// SHA-256 digest of the key, 64 hexadecimal digits
        #[arg(value_name = "DIGEST", value_parser = parse_digest)]
        digest: key::Digest,
        #[command(flatten)]
        operator: Operator,
    },
    /// List the digests of the keys in force
    List {
        #[command(flatten)]
        operator: Operator,
    },
}

/// How to reach the operators' API.
///
/// The operator key is read from the environment variable AZUREGAP_OPERATOR_KEY, never from the
/// command line, where other users of the machine could see it.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct Operator {
    /// Operators' address of an entry; the operator key is read from AZUREGAP_OPERATOR_KEY
    #[arg(
        long,
        value_name = "URL",
        env = "AZUREGAP_ENTRY",
        default_value = "http://127.0.0.1:8081"
    )]
    pub(crate) entry: String,
}

/// Options of `load`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct LoadArgs {
    /// Callers' address of an entry
    #[arg(long, value_name = "URL", default_value = "http://127.0.0.1:8080")]
    pub(crate) url: String,
    /// Requests a second over all classes
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=5000))]
    pub(crate) rate: u32,
    /// How long to send, at most 10 minutes
    #[arg(long, default_value = "10s", value_parser = load::parse_duration)]
    pub(crate) duration: time::Duration,
    /// Most requests at once; one that would be more is not sent but counted
    #[arg(long, default_value_t = 256, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub(crate) concurrency: u32,
    /// What to send, as NAME=WEIGHT: a class of the model, or a path that is read by GET
    #[arg(
        long,
        value_name = "NAME=WEIGHT",
        value_delimiter = ',',
        default_value = "chat=1",
        value_parser = load::parse_share
    )]
    pub(crate) mix: Vec<load::Share>,
    /// Model that is asked
    #[arg(long, default_value = "advisor-model")]
    pub(crate) model: String,
    /// Most tokens of one answer
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub(crate) max_tokens: u32,
    /// Words of each prompt
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    pub(crate) prompt_words: u32,
    /// Seed of the arrival times and of the choice of classes
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

/// Options of `demo`.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct DemoArgs {
    /// Which of the shipped deployments to show
    #[arg(long, value_enum, default_value_t = Deployment::SwanCoastal)]
    pub(crate) deployment: Deployment,
    /// Keep running until interrupted, to try requests by hand
    #[arg(long)]
    pub(crate) hold: bool,
    /// Write the log lines to standard error
    #[arg(long)]
    pub(crate) logs: bool,
}

/// The deployments that are shipped as examples.
#[derive(Clone, Copy, Debug, clap::ValueEnum)]
pub(crate) enum Deployment {
    /// Summaries and chat, with a billing service.
    SwanCoastal,
    /// Scenarios and coaching, with a registry of marshals.
    Academy,
}

impl Deployment {
    /// The shipped intent.
    pub(crate) const fn intent(self) -> &'static str {
        match self {
            Self::SwanCoastal => include_str!("../../../examples/swan-coastal/intent.json"),
            Self::Academy => include_str!("../../../examples/academy/intent.json"),
        }
    }
}

fn parse_digest(text: &str) -> Result<key::Digest, String> {
    let value = serde_json::Value::String(text.to_owned());
    serde_json::from_value(value).map_err(|_| "expected 64 hexadecimal digits".to_owned())
}
