//! Services beside each backend server: bounded queue, fair sharing, answers, usage.
