//! Backend servers that certain requests crash.

use std::cell;
use std::rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::sync;
use tokio::time;

use super::loopback;

/// What a backend server does with a deadly request.
#[derive(Clone, Copy)]
pub enum OnDeadly {
    /// It ends, and refuses connections for a while.
    Crash,
    /// It closes the connection, and ends a moment later.
    CrashLater,
    /// It closes the connection.
    Close,
    /// It begins to answer and ends.
    CrashAfter(Partial),
    /// It begins to answer and loses the connection.
    CloseAfter(Partial),
}

/// What a backend server sends of an answer before its connection is lost.
#[derive(Clone, Copy, Debug)]
pub struct Partial {
    pub text: &'static str,
    /// Whether the connection is reset, or else closed.
    pub resets: bool,
    /// Time between the text and the end.
    pub delay: Duration,
}

impl Partial {
    /// Is sent, and then the connection is closed.
    pub const fn closed(text: &'static str) -> Self {
        Self { text, resets: false, delay: Duration::from_millis(10) }
    }

    /// Is sent, and then the connection is reset.
    pub const fn reset(text: &'static str) -> Self {
        Self { resets: true, ..Self::closed(text) }
    }
}

/// Time until a backend server that has ended is back.
pub const DOWN_TIME: Duration = Duration::from_millis(400);

/// What tells a deadly request, and how many have reached a backend server.
#[derive(Clone)]
pub struct Deadly {
    /// Part of its head.
    pub mark: &'static str,
    pub count: rc::Rc<cell::Cell<usize>>,
}

impl Deadly {
    pub fn new(mark: &'static str) -> Self {
        Self { mark, count: rc::Rc::default() }
    }
}

/// A backend server that answers all other requests: with a stream of one event those whose path
/// begins with `/stream/` or `/resume/`, with a short body the rest.
pub async fn backend(on_deadly: OnDeadly, deadly: &Deadly) -> loopback::Backend {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let backend =
        loopback::Backend { address, requests: rc::Rc::default(), disconnects: rc::Rc::default() };
    let deadly = deadly.clone();
    actix_rt::spawn(async move {
        let mut listener = Some(listener);
        loop {
            let listening = match listener.take() {
                Some(listener) => listener,
                None => tokio_net::TcpListener::bind(address).await.expect("the port is free"),
            };
            serve_until_crash(listening, on_deadly, &deadly).await;
            time::sleep(DOWN_TIME).await;
        }
    });
    backend
}

/// Serves connections until a deadly request ends the backend server.
async fn serve_until_crash(listener: tokio_net::TcpListener, on_deadly: OnDeadly, deadly: &Deadly) {
    let crashed = rc::Rc::new(sync::Notify::new());
    loop {
        let mut stream = tokio::select! {
            accepted = listener.accept() => accepted.expect("a connection").0,
            () = crashed.notified() => return,
        };
        let (crashed, deadly) = (crashed.clone(), deadly.clone());
        actix_rt::spawn(async move {
            loop {
                let head = tokio::select! {
                    head = loopback::read_head(&mut stream) => head,
                    () = crashed.notified() => return,
                };
                let Some(head) = head else { return };
                if head.contains(deadly.mark) {
                    deadly.count.set(deadly.count.get() + 1);
                    if let OnDeadly::CrashAfter(partial) | OnDeadly::CloseAfter(partial) = on_deadly
                    {
                        let _ = stream.write_all(partial.text.as_bytes()).await;
                        time::sleep(partial.delay).await;
                        if partial.resets {
                            let socket = socket2::SockRef::from(&stream);
                            socket.set_linger(Some(Duration::ZERO)).expect("a socket option");
                        }
                    }
                    if matches!(on_deadly, OnDeadly::CrashLater) {
                        actix_rt::spawn(async move {
                            time::sleep(Duration::from_millis(20)).await;
                            crashed.notify_waiters();
                        });
                    } else if matches!(on_deadly, OnDeadly::Crash | OnDeadly::CrashAfter(_)) {
                        crashed.notify_waiters();
                        // The port is closed before the connection.
                        time::sleep(Duration::from_millis(5)).await;
                    }
                    return;
                }
                let events = loopback::chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
                let is_stream =
                    ["GET /stream/", "GET /resume/"].iter().any(|p| head.starts_with(p));
                let text = if is_stream {
                    format!("{}{events}", loopback::STREAM_HEAD)
                } else {
                    loopback::RESPONSE.to_owned()
                };
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}
