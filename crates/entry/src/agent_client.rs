//! One connection to an agent over which an answer comes.

use std::time;

use azuregap_wire::codec;
use azuregap_wire::frame;
use azuregap_wire::run;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use quick_error::quick_error;
use serde::Serialize;

quick_error! {
    /// Why no further frame came.
    #[derive(Debug)]
    pub enum StreamError {
        /// No connection could be made; nothing was sent.
        Connect(reason: String) {
            display("cannot connect: {}", reason)
        }
        /// The connection broke or was closed before the last frame.
        Cut(reason: String) {
            display("the connection broke: {}", reason)
        }
        /// Nothing came for too long.
        Silent {
            display("the connection is silent")
        }
    }
}

type Bodies = stream::LocalBoxStream<'static, Result<Bytes, awc::error::PayloadError>>;

/// Reads frames from an agent.
pub struct FrameStream {
    bodies: Bodies,
    reader: codec::FrameReader,
    silence: time::Duration,
}

impl std::fmt::Debug for FrameStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameStream").field("silence", &self.silence).finish_non_exhaustive()
    }
}

/// HTTP clients towards agents.
#[derive(Clone)]
pub struct AgentClient {
    /// Keeps connections open for the next request.
    pooled: awc::Client,
    /// Makes a new connection for every request.
    fresh: awc::Client,
}

impl std::fmt::Debug for AgentClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentClient").finish_non_exhaustive()
    }
}

/// Longest time to make a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Longest idle time of a pooled connection.
const IDLE_KEEP: time::Duration = time::Duration::from_secs(15);

impl Default for AgentClient {
    fn default() -> Self {
        let connector = || awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let client = |connector| awc::Client::builder().connector(connector).disable_timeout();
        let pooled = connector().conn_keep_alive(IDLE_KEEP);
        let fresh = connector().conn_keep_alive(time::Duration::ZERO);
        Self { pooled: client(pooled).finish(), fresh: client(fresh).finish() }
    }
}

impl AgentClient {
    /// Sends `request` over a pooled connection.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when the agent gave no answer.
    pub async fn run(
        &self,
        runs: &str,
        request: &run::RunRequest,
        silence: time::Duration,
    ) -> Result<FrameStream, StreamError> {
        open(&self.pooled, runs, run::RUN_PATH, request, silence).await
    }

    /// Asks for the rest of an answer over a new connection.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when the agent gave no answer.
    pub async fn resume(
        &self,
        runs: &str,
        request: &run::ResumeRequest,
        silence: time::Duration,
    ) -> Result<FrameStream, StreamError> {
        open(&self.fresh, runs, run::RESUME_PATH, request, silence).await
    }

    /// Tells the agent that nobody waits any more; a lost message is made up for by the agent's
    /// own look at abandoned runs.
    pub async fn cancel(&self, runs: &str, request: &run::CancelRequest) {
        let url = format!("http://{runs}{}", run::CANCEL_PATH);
        let call = self.fresh.post(url).timeout(CONNECT_TIMEOUT);
        let _ = call.send_body(codec::encode(request)).await;
    }
}

async fn open(
    client: &awc::Client,
    runs: &str,
    path: &str,
    request: &impl Serialize,
    silence: time::Duration,
) -> Result<FrameStream, StreamError> {
    let url = format!("http://{runs}{path}");
    let call = client.post(url).send_body(codec::encode(request));
    let response = tokio::time::timeout(silence, call).await.map_err(|_| StreamError::Silent)?;
    let response = response.map_err(|error| match error {
        awc::error::SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
            StreamError::Cut(error.to_string())
        }
        awc::error::SendRequestError::Connect(_) => StreamError::Connect(error.to_string()),
        other => StreamError::Cut(other.to_string()),
    })?;
    if !response.status().is_success() {
        return Err(StreamError::Cut(response.status().to_string()));
    }
    Ok(FrameStream {
        bodies: response.boxed_local(),
        reader: codec::FrameReader::default(),
        silence,
    })
}

impl FrameStream {
    /// The next frame.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when none came: the connection is of no further use.
    pub async fn next_frame(&mut self) -> Result<frame::Frame, StreamError> {
        loop {
            let cut = |error: codec::CodecError| StreamError::Cut(error.to_string());
            if let Some(frame) = self.reader.next_frame().map_err(cut)? {
                return Ok(frame);
            }
            let next = tokio::time::timeout(self.silence, self.bodies.next()).await;
            match next.map_err(|_| StreamError::Silent)? {
                Some(Ok(bytes)) => self.reader.push(&bytes),
                Some(Err(error)) => return Err(StreamError::Cut(error.to_string())),
                None => return Err(StreamError::Cut("closed before the last frame".to_owned())),
            }
        }
    }
}
