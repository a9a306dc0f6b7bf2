//! Metrics as received by a statsd server.

use std::net;
use std::time;

use azuregap_control::metrics;
use googletest::prelude::*;

#[gtest]
fn metrics_are_sent_to_the_configured_address() -> Result<()> {
    let server = net::UdpSocket::bind("127.0.0.1:0")?;
    server.set_read_timeout(Some(time::Duration::from_secs(10)))?;
    let sender = metrics::Metrics::new("entry-1", Some(server.local_addr()?));
    sender.count("requests", "chat", 2001);
    sender.time("first_byte", "chat", time::Duration::from_millis(7));
    sender.gauge("agent.waiting", 3);
    drop(sender);
    let mut bytes = [0; 1024];
    let mut text = String::new();
    while !text.contains("waiting") {
        let length = server.recv(&mut bytes)?;
        text.push_str(std::str::from_utf8(&bytes[..length])?);
    }
    verify_that!(
        text,
        contains_substring("azuregap.requests:1|c|#node:entry-1,class:chat,code:2001")
    )?;
    verify_that!(text, contains_substring("azuregap.first_byte:7|ms|#node:entry-1,class:chat"))?;
    verify_that!(text, contains_substring("azuregap.agent.waiting:3|g|#node:entry-1"))
}

#[gtest]
fn sending_without_an_address_is_a_no_op() {
    metrics::Metrics::new("entry-1", None).gauge("agent.waiting", 1);
}
