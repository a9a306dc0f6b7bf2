//! Start and stop order of services, and handle lookup.

use std::cell;
use std::rc;

use azuregap_kernel::error;
use azuregap_kernel::kernel;
use azuregap_kernel::registry;
use azuregap_kernel::service;
use googletest::prelude::*;

/// Records the starts and stops of services in order.
#[derive(Clone, Debug, Default)]
struct Trace {
    lines: rc::Rc<cell::RefCell<Vec<String>>>,
}

impl Trace {
    fn record(&self, line: String) {
        self.lines.borrow_mut().push(line);
    }

    fn lines(&self) -> Vec<String> {
        self.lines.borrow().clone()
    }

    /// Creates a service that records its start and stop.
    fn service(&self, name: &'static str, dependencies: &[&str]) -> service::Service {
        let (start, stop) = (self.clone(), self.clone());
        service::Service::new(name)
            .depends_on(dependencies.iter().copied())
            .start(move |_| async move {
                start.record(format!("+{name}"));
                Ok(())
            })
            .stop(move |_| async move {
                tokio::task::yield_now().await;
                stop.record(format!("-{name}"));
            })
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

#[gtest]
fn services_start_after_their_dependencies_and_stop_in_reverse_order() {
    let trace = Trace::default();
    let mut kernel = kernel::Kernel::new()
        .service(trace.service("callers", &["choice", "keys"]))
        .service(trace.service("choice", &["agents"]))
        .service(trace.service("keys", &[]))
        .service(trace.service("agents", &["keys"]));
    block_on(async {
        kernel.start().await.unwrap();
        kernel.stop().await;
        kernel.stop().await;
    });
    let expected =
        ["+keys", "+agents", "+choice", "+callers", "-callers", "-choice", "-agents", "-keys"];
    expect_that!(trace.lines(), container_eq(expected.map(str::to_owned)));
}

#[gtest]
fn dependency_cycle_is_an_error_and_stops_the_started_services() {
    let trace = Trace::default();
    let mut kernel = kernel::Kernel::new()
        .service(trace.service("a", &["b"]))
        .service(trace.service("b", &["c"]))
        .service(trace.service("c", &["a"]))
        .service(trace.service("alone", &[]));
    let message = block_on(kernel.start()).unwrap_err().to_string();
    expect_that!(
        message,
        eq("cannot order the services a, b, c: remove the cycle or add the missing dependencies")
    );
    expect_that!(trace.lines(), container_eq(["+alone", "-alone"].map(str::to_owned)));
}

#[gtest]
fn missing_dependency_is_an_error_that_names_the_dependent_service() {
    let trace = Trace::default();
    let mut kernel = kernel::Kernel::new().service(trace.service("dependent", &["missing"]));
    let message = block_on(kernel.start()).unwrap_err().to_string();
    expect_that!(message, contains_substring("dependent"));
    expect_that!(trace.lines(), is_empty());
}

#[gtest]
fn failed_start_stops_the_started_services_and_starts_no_others() {
    let trace = Trace::default();
    let failing = |trace: Trace| {
        service::Service::new("failing").depends_on(["first"]).start(move |_| async move {
            trace.record("+failing".to_owned());
            Err(error::KernelError::StartFailed("failing".to_owned(), "port taken".to_owned()))
        })
    };
    let mut kernel = kernel::Kernel::new()
        .service(trace.service("first", &[]))
        .service(failing(trace.clone()))
        .service(trace.service("last", &["failing"]));
    let message = block_on(kernel.start()).unwrap_err().to_string();
    expect_that!(message, eq("service 'failing' failed to start: port taken"));
    expect_that!(trace.lines(), container_eq(["+first", "+failing", "-first"].map(str::to_owned)));
}

#[gtest]
fn start_error_names_the_service() {
    let mut kernel = kernel::Kernel::new().service(
        service::Service::new("dependent")
            .start(|registry| async move { registry.find::<String>("name").map(drop) }),
    );
    let message = block_on(kernel.start()).unwrap_err().to_string();
    let expected = "service 'dependent' failed to start: no service is registered as 'name': \
                    add it or start it earlier";
    expect_that!(message, eq(expected));
}

#[gtest]
fn handles_are_looked_up_by_name_and_type() {
    let registry = registry::Registry::default();
    registry.clone().register("answer", 42_u32);
    expect_that!(*registry.find::<u32>("answer").unwrap(), eq(42));
    let wrong = registry.find::<String>("answer").unwrap_err();
    expect_that!(wrong.to_string(), eq("'answer' is registered with another type"));
    expect_that!(registry.find::<u32>("question").is_err(), eq(true));
    registry.register("answer", 43_u32);
    expect_that!(*registry.find::<u32>("answer").unwrap(), eq(43));
}
