//! Services of an entry VM: caller API, admission, routing and retries.
