//! HTTP responses for refusals.

use std::time;

use actix_web::body;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_entry::refusal_response;
use googletest::prelude::*;

async fn http_response(refusal: &refusal::Refusal) -> (u16, Option<String>, serde_json::Value) {
    let response = refusal_response::build(refusal, 0xabc);
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    let (id, retry_after) = (header(refusal_response::REQUEST_ID_HEADER), header("retry-after"));
    let status = response.status().as_u16();
    let bytes = body::to_bytes(response.into_body()).await.unwrap();
    let body: serde_json::Value = serde_json::from_slice(&bytes).unwrap();
    assert_eq!(body["request"].as_str(), id.as_deref());
    (status, retry_after, body)
}

#[gtest]
#[actix_rt::test]
async fn response_carries_code_not_run_flag_and_retry_after() {
    let delay = time::Duration::from_millis(1001);
    let unavailable = refusal::Refusal::not_run(code::Code::StoreUnavailable, "the store is down");
    let lost = refusal::Refusal::may_have_run(code::Code::OutcomeUnknown, "the agent was lost");
    insta::assert_json_snapshot!([
        http_response(&unavailable.retry_after(delay)).await,
        http_response(&lost).await
    ]);
}

#[gtest]
#[actix_rt::test]
async fn every_code_maps_to_an_error_status_and_its_number() -> Result<()> {
    for code in code::Code::ALL.iter().copied() {
        let (status, _, body) = http_response(&refusal::Refusal::not_run(code, "seen")).await;
        verify_that!(status, ge(400))?;
        verify_that!(body["code"].as_u64(), some(eq(u64::from(code.number()))))?;
    }
    Ok(())
}
