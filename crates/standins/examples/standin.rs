//! Runs one stand-in as a process, for tests and demos.

use std::io;
use std::net;
use std::time;

use azuregap_standins::engine;
use azuregap_standins::plain;
use azuregap_standins::platform;
use clap::Parser;
use clap::Subcommand;

/// Runs one stand-in; prints the address it listens at.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// All services of the platform.
    Platform {
        /// Where to listen.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: net::SocketAddr,
        /// Lag of the VM list, in milliseconds.
        #[arg(long, default_value_t = 0)]
        vm_lag_ms: u64,
        /// Refuse orders with an old fencing number.
        #[arg(long)]
        check_fences: bool,
    },
    /// A model engine.
    Engine {
        /// Where to listen.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: net::SocketAddr,
        /// Settings as JSON, for example '{"slots":16,"decode_us":20000}'.
        #[arg(long, default_value = "{}")]
        settings: String,
    },
    /// A plain service.
    Plain {
        /// Where to listen.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: net::SocketAddr,
    },
}

#[actix_web::main]
async fn main() -> io::Result<()> {
    let (_server, address) = match Arguments::parse().kind {
        Kind::Platform { listen, vm_lag_ms, check_fences } => {
            let services = platform::Platform::new().vm_lag(time::Duration::from_millis(vm_lag_ms));
            let services = if check_fences { services.check_fences() } else { services };
            platform::serve(listen, services)?
        }
        Kind::Engine { listen, settings } => {
            engine::serve(listen, serde_json::from_str(&settings)?)?
        }
        Kind::Plain { listen } => plain::serve(listen)?,
    };
    println!("{address}");
    tokio::signal::ctrl_c().await
}
