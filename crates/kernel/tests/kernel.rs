//! The order in which services start and stop.

use std::cell;
use std::rc;

use azuregap_kernel::error;
use azuregap_kernel::kernel;
use azuregap_kernel::registry;
use azuregap_kernel::service;
use googletest::prelude::*;

/// What the services of a test did, in order.
#[derive(Clone, Debug, Default)]
struct Trace {
    lines: rc::Rc<cell::RefCell<Vec<String>>>,
}

impl Trace {
    fn write(&self, line: String) {
        self.lines.borrow_mut().push(line);
    }

    fn read(&self) -> Vec<String> {
        self.lines.borrow().clone()
    }

    /// A service that writes its start and stop into the trace.
    fn service(&self, name: &'static str, needs: &[&str]) -> service::Service {
        let (start, stop) = (self.clone(), self.clone());
        service::Service::new(name)
            .depends_on(needs.iter().copied())
            .start(move |_| async move {
                start.write(format!("+{name}"));
                Ok(())
            })
            .stop(move |_| async move {
                tokio::task::yield_now().await;
                stop.write(format!("-{name}"));
            })
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

#[gtest]
fn services_start_after_what_they_need_and_stop_in_the_opposite_order() {
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
    expect_that!(trace.read(), container_eq(expected.map(str::to_owned)));
}

#[gtest]
fn a_circle_is_refused_and_what_was_started_is_stopped() {
    let trace = Trace::default();
    let mut kernel = kernel::Kernel::new()
        .service(trace.service("a", &["b"]))
        .service(trace.service("b", &["c"]))
        .service(trace.service("c", &["a"]))
        .service(trace.service("alone", &[]));
    let outcome = block_on(kernel.start());
    let told = outcome.unwrap_err().to_string();
    expect_that!(
        told,
        eq("cannot order the services a, b, c: remove the circle or add what they need")
    );
    expect_that!(trace.read(), container_eq(["+alone", "-alone"].map(str::to_owned)));
}

#[gtest]
fn a_need_that_nobody_meets_is_named() {
    let trace = Trace::default();
    let mut kernel = kernel::Kernel::new().service(trace.service("lonely", &["nobody"]));
    let told = block_on(kernel.start()).unwrap_err().to_string();
    expect_that!(told, contains_substring("lonely"));
    expect_that!(trace.read(), is_empty());
}

#[gtest]
fn a_failed_start_stops_what_was_started_and_starts_nothing_more() {
    let trace = Trace::default();
    let failing = |trace: Trace| {
        service::Service::new("failing").depends_on(["first"]).start(move |_| async move {
            trace.write("+failing".to_owned());
            Err(error::KernelError::StartFailed("failing".to_owned(), "port taken".to_owned()))
        })
    };
    let mut kernel = kernel::Kernel::new()
        .service(trace.service("first", &[]))
        .service(failing(trace.clone()))
        .service(trace.service("last", &["failing"]));
    let told = block_on(kernel.start()).unwrap_err().to_string();
    expect_that!(told, eq("service 'failing' did not start: port taken"));
    expect_that!(trace.read(), container_eq(["+first", "+failing", "-first"].map(str::to_owned)));
}

#[gtest]
fn the_fault_of_a_start_names_its_service() {
    let mut kernel = kernel::Kernel::new().service(
        service::Service::new("seeker")
            .start(|registry| async move { registry.find::<String>("name").map(drop) }),
    );
    let told = block_on(kernel.start()).unwrap_err().to_string();
    expect_that!(
        told,
        eq("service 'seeker' did not start: no service offers 'name': add it or start it earlier")
    );
}

#[gtest]
fn handles_are_found_by_name_and_type() {
    let registry = registry::Registry::default();
    registry.clone().register("answer", 42_u32);
    expect_that!(*registry.find::<u32>("answer").unwrap(), eq(42));
    let wrong = registry.find::<String>("answer").unwrap_err();
    expect_that!(wrong.to_string(), eq("'answer' is offered with another type"));
    expect_that!(registry.find::<u32>("question").is_err(), eq(true));
    registry.register("answer", 43_u32);
    expect_that!(*registry.find::<u32>("answer").unwrap(), eq(43));
}
