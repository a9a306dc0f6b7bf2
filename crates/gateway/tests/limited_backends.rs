//! Backend servers that name in their responses how many requests a second they take.

mod support;

use futures::future;
use googletest::prelude::*;
use support::loopback::*;

fn naming(limit: &str) -> Reply {
    keep_open(RESPONSE.replace("x-id: 1", &format!("x-id: 1\r\nx-limit: {limit}")))
}

#[gtest]
fn server_that_names_a_limit_gets_no_more_requests_than_it_takes() {
    run(async {
        let backend = backend(vec![naming("1.8")]).await;
        let (_, address) = gateway(&[&backend]).await;
        call(address, "/once/a", "").await;
        future::join_all((0..40).map(|_| call(address, "/once/a", ""))).await;
        // One and a half times the limit in four seconds, and five.
        expect_that!(backend.requests.borrow().len(), le(15));
    });
}
