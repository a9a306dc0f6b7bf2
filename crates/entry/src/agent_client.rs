//! HTTP client for agents; responses are received as a stream of frames.

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
    /// Error that ends a stream of frames.
    #[derive(Debug)]
    pub enum StreamError {
        /// The connection could not be established; nothing was sent.
        Connect(reason: String) {
            display("cannot connect: {}", reason)
        }
        /// The connection failed or was closed before the last frame.
        Cut(reason: String) {
            display("the connection broke: {}", reason)
        }
        /// Nothing was received within the idle timeout.
        Silent {
            display("the connection is silent")
        }
    }
}

type BodyStream = stream::LocalBoxStream<'static, Result<Bytes, awc::error::PayloadError>>;

/// Stream of frames from an agent.
pub struct FrameStream {
    body: BodyStream,
    reader: codec::FrameReader,
    idle_timeout: time::Duration,
}

impl std::fmt::Debug for FrameStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameStream")
            .field("idle_timeout", &self.idle_timeout)
            .finish_non_exhaustive()
    }
}

/// HTTP client for agents.
#[derive(Clone)]
pub struct AgentClient {
    /// Reuses connections.
    pooled: awc::Client,
    /// Opens a new connection for every request.
    unpooled: awc::Client,
}

impl std::fmt::Debug for AgentClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AgentClient").finish_non_exhaustive()
    }
}

/// Time limit to establish a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Idle time after which a pooled connection is closed.
const POOL_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

impl Default for AgentClient {
    fn default() -> Self {
        let connector = || awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
        let client = |connector| awc::Client::builder().connector(connector).disable_timeout();
        let pooled = connector().conn_keep_alive(POOL_IDLE_TIMEOUT);
        let unpooled = connector().conn_keep_alive(time::Duration::ZERO);
        Self { pooled: client(pooled).finish(), unpooled: client(unpooled).finish() }
    }
}

impl AgentClient {
    /// Sends `request` over a pooled connection.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when the agent sent no successful response.
    pub async fn run(
        &self,
        address: &str,
        request: &run::RunRequest,
        idle_timeout: time::Duration,
    ) -> Result<FrameStream, StreamError> {
        open(&self.pooled, address, run::RUN_PATH, request, idle_timeout).await
    }

    /// Requests the rest of a response over a new connection.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when the agent sent no successful response.
    pub async fn resume(
        &self,
        address: &str,
        request: &run::ResumeRequest,
        idle_timeout: time::Duration,
    ) -> Result<FrameStream, StreamError> {
        open(&self.unpooled, address, run::RESUME_PATH, request, idle_timeout).await
    }

    /// Cancels a request that is no longer wanted. Errors are ignored: the agent itself detects
    /// abandoned runs.
    pub async fn cancel(&self, address: &str, request: &run::CancelRequest) {
        let url = format!("http://{address}{}", run::CANCEL_PATH);
        let call = self.unpooled.post(url).timeout(CONNECT_TIMEOUT);
        let _ = call.send_body(codec::encode(request)).await;
    }
}

async fn open(
    client: &awc::Client,
    address: &str,
    path: &str,
    request: &impl Serialize,
    idle_timeout: time::Duration,
) -> Result<FrameStream, StreamError> {
    let url = format!("http://{address}{path}");
    let call = client.post(url).send_body(codec::encode(request));
    let response =
        tokio::time::timeout(idle_timeout, call).await.map_err(|_| StreamError::Silent)?;
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
        body: response.boxed_local(),
        reader: codec::FrameReader::default(),
        idle_timeout,
    })
}

impl FrameStream {
    /// Receives the next frame.
    ///
    /// # Errors
    ///
    /// [`StreamError`] when the stream has failed; it can't be used any further.
    pub async fn next_frame(&mut self) -> Result<frame::Frame, StreamError> {
        loop {
            let cut = |error: codec::CodecError| StreamError::Cut(error.to_string());
            if let Some(frame) = self.reader.next_frame().map_err(cut)? {
                return Ok(frame);
            }
            let next = tokio::time::timeout(self.idle_timeout, self.body.next()).await;
            match next.map_err(|_| StreamError::Silent)? {
                Some(Ok(bytes)) => self.reader.push(&bytes),
                Some(Err(error)) => return Err(StreamError::Cut(error.to_string())),
                None => return Err(StreamError::Cut("closed before the last frame".to_owned())),
            }
        }
    }
}
