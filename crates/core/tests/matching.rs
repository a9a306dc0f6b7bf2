//! Route selection for requests.

use azuregap_core::intent;
use azuregap_core::settings;
use googletest::prelude::*;

fn swan_coastal() -> intent::Intent {
    settings::from_text(include_str!("../../../examples/swan-coastal/intent.json")).unwrap()
}

#[gtest]
fn model_request_uses_the_route_of_its_class_or_the_first_route() {
    let intent = swan_coastal();
    let route = |path: &str, model: &str, class: Option<&str>| {
        intent.model_route(path, model, class).map(|route| route.name.clone())
    };
    let chat = "/v1/chat/completions";
    expect_that!(route(chat, "advisor-model", None), some(eq("chat")));
    expect_that!(route(chat, "advisor-model", Some("summary")), some(eq("summary")));
    expect_that!(route(chat, "advisor-model", Some("ledger")), some(eq("chat")));
    expect_that!(route("/v1/completions", "advisor-model", None), some(eq("summary-text")));
    expect_that!(route(chat, "billing-app", None), none());
    expect_that!(route(chat, "oracle", Some("chat")), none());
}

#[gtest]
fn model_route_of_a_class_is_independent_of_the_route_order() {
    let intent = swan_coastal();
    let mut reversed = intent.clone();
    reversed.routes.reverse();
    for class in ["chat", "summary"] {
        let path = "/v1/chat/completions";
        let route = |intent: &intent::Intent| {
            intent.model_route(path, "advisor-model", Some(class)).cloned()
        };
        expect_that!(route(&intent), eq(&route(&reversed)));
    }
}

#[gtest]
fn plain_request_uses_the_longest_prefix_that_allows_its_method() {
    let mut intent = swan_coastal();
    let mut catch_all = intent.routes[3].clone();
    catch_all.name = "catch-all".to_owned();
    catch_all.prefix = "/billing-app/".to_owned();
    catch_all.methods.clear();
    intent.routes.insert(0, catch_all);
    expect_that!(intent.check(), is_empty());
    let route =
        |path: &str, method: &str| intent.plain_route(path, method).map(|route| route.name.clone());
    expect_that!(route("/billing-app/accounts/7", "GET"), some(eq("account-lookup")));
    expect_that!(route("/billing-app/accounts", "HEAD"), some(eq("account-lookup")));
    expect_that!(route("/billing-app/accounts", "DELETE"), some(eq("catch-all")));
    expect_that!(route("/billing-app/tariffs", "GET"), some(eq("tariff-lookup")));
    expect_that!(route("/billing-app/tariffs", "PUT"), some(eq("tariff-change")));
    expect_that!(route("/billing-app/creditsx", "POST"), some(eq("catch-all")));
    expect_that!(route("/billing-appx", "GET"), none());
    expect_that!(route("/", "GET"), none());
}
