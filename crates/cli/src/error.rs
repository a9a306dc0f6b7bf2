//! What can go wrong in a command.

use azuregap_core::code;
use azuregap_core::settings;
use azuregap_kernel::error as kernel;
use quick_error::quick_error;
use serde_json::Value;

use crate::exit;
use crate::render;

quick_error! {
    /// Why a command did not do what was asked.
    #[derive(Debug)]
    pub enum CliError {
        /// A file cannot be read.
        File(path: String, reason: String) {
            display("{}: {}: {}", code::Code::FileUnreadable.number(), path, reason)
        }
        /// A file is not a document of the expected shape.
        Document(path: String, fault: settings::LoadError) {
            display("{}: {}", path, fault)
        }
        /// The command line or the environment is wrong.
        Usage(reason: String) {
            display("{}", reason)
        }
        /// The entry refused.
        Refused(status: u16, body: Value) {
            display("the entry refused with status {}", status)
        }
        /// Nobody answered.
        Unreachable(url: String, reason: String) {
            display("{}: no answer from {}: {}", code::Code::PeerUnavailable.number(), url, reason)
        }
        /// A part of the demo did not start.
        Start(fault: kernel::KernelError) {
            from()
            display("{}: {}", code::Code::Internal.number(), fault)
        }
        /// The answer cannot be used.
        Answer(reason: String) {
            display("{}: the answer cannot be used: {}", code::Code::MessageUnknown.number(), reason)
        }
    }
}

/// Result of a command.
pub(crate) type CliResult<T> = Result<T, CliError>;

impl CliError {
    /// The exit code that goes with the error.
    pub(crate) const fn exit(&self) -> exit::Exit {
        match self {
            Self::File(..) | Self::Document(..) | Self::Refused(..) | Self::Start(_) => {
                exit::Exit::Faulty
            }
            Self::Usage(_) => exit::Exit::Usage,
            Self::Unreachable(..) | Self::Answer(_) => exit::Exit::Unreachable,
        }
    }

    /// Tells the error: to people on standard error, to programs as JSON on standard output.
    pub(crate) fn report(&self, json: bool) {
        let body = match self {
            Self::Refused(_, body) => body.clone(),
            other => serde_json::json!({ "message": other.to_string() }),
        };
        if json {
            println!("{body:#}");
            return;
        }
        eprintln!("azuregap: {self}");
        if let Self::Refused(..) = self {
            eprint!("{}", render::value(&body));
        }
    }
}
