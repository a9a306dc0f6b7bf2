//! Relays the events of a stream as they come, and goes on at another backend server where the
//! route allows it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::sync::mpsc;
use tokio::time;

use super::attempt;
use super::body as answer_body;
use super::dispatch;
use super::exchange;
use super::pool;
use super::splitter;
use super::ticket;
use crate::codec;
use crate::decision::health;

/// Time for events to be written before the connection is closed.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// A stream that a backend server is sending.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) target: attempt::Target,
    /// Counts the request at the backend server as long as the stream runs.
    pub(super) _ticket: ticket::Ticket,
    pub(super) marks: codec::Marks,
    pub(super) body: body::Incoming,
    pub(super) connection: pool::Connection,
}

type Events = mpsc::Sender<Result<Bytes, answer_body::Broken>>;

/// How the relay of one backend server's stream ended.
enum End {
    Complete,
    CallerLeft,
    OutOfTime,
    Broken(String),
}

/// Relays until the stream is complete, can't go on, or the caller leaves.
pub(super) async fn run(
    mut job: dispatch::Job,
    mut stream: Stream,
    mut splitter: splitter::Splitter,
    first: Option<Bytes>,
    events: Events,
) {
    if let Some(first) = first
        && events.send(Ok(first)).await.is_err()
    {
        return job.log_end(200, &stream.target.id, "caller left", "");
    }
    let mut last = time::Instant::now();
    loop {
        let end = pump(&mut job, &mut last, &mut stream, &mut splitter, &events).await;
        let backend = stream.target.id.clone();
        let reason = match end {
            End::Complete => {
                job.observe(&stream.target, health::Outcome::Success);
                if !stream.marks.closes {
                    let address = stream.target.address;
                    job.state.pool.put(address, stream.connection, stream.marks.idle);
                }
                return job.log_end(200, &backend, "complete", "");
            }
            End::CallerLeft => return job.log_end(200, &backend, "caller left", ""),
            End::OutOfTime => {
                cut(&events).await;
                return job.log_end(200, &backend, "out of time", "");
            }
            End::Broken(reason) => reason,
        };
        job.observe(&stream.target, health::Outcome::Failure);
        splitter.discard();
        job.last_event = splitter.last();
        drop(stream);
        match resume(&mut job, &events).await {
            Some(next) => stream = next,
            None => {
                cut(&events).await;
                return job.log_end(200, &backend, "cut", &reason);
            }
        }
    }
}

/// Closes the caller's connection without the end of the answer.
async fn cut(events: &Events) {
    // The connection is closed with what it has not written yet.
    time::sleep(FLUSH_PAUSE).await;
    // A caller that has left needs no end.
    let _ = events.send(Err(answer_body::Broken::Cut)).await;
}

/// Another backend server's stream from the last event on, if the route allows it.
async fn resume(job: &mut dispatch::Job, events: &Events) -> Option<Stream> {
    if !exchange::is_resumable(job.admitted.route.kind) || !job.may_rerun() {
        return None;
    }
    let obtained = tokio::select! {
        obtained = job.obtain() => obtained.ok()?,
        () = events.closed() => return None,
    };
    let dispatch::Obtained { target, mut ticket, answer, .. } = obtained;
    ticket.started();
    answer.head.status.is_success().then_some(Stream {
        target,
        _ticket: ticket,
        marks: answer.marks,
        body: answer.body,
        connection: answer.connection,
    })
}

async fn pump(
    job: &mut dispatch::Job,
    last: &mut time::Instant,
    stream: &mut Stream,
    splitter: &mut splitter::Splitter,
    events: &Events,
) -> End {
    loop {
        let frame = tokio::select! {
            frame = stream.body.frame() => frame,
            () = events.closed() => return End::CallerLeft,
            () = time::sleep_until(job.deadline) => return End::OutOfTime,
        };
        let whole = match frame {
            Some(Ok(frame)) => frame.into_data().ok().and_then(|data| splitter.push(&data)),
            Some(Err(error)) => return End::Broken(error.to_string()),
            None => {
                if let Some(rest) = splitter.rest()
                    && events.send(Ok(rest)).await.is_err()
                {
                    return End::CallerLeft;
                }
                return End::Complete;
            }
        };
        if let Some(whole) = whole {
            let now = time::Instant::now();
            job.pause = job.pause.max(now.saturating_duration_since(*last));
            *last = now;
            tokio::select! {
                sent = events.send(Ok(whole)) => if sent.is_err() { return End::CallerLeft },
                () = time::sleep_until(job.deadline) => return End::OutOfTime,
            }
        }
    }
}
