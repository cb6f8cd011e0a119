//! Startup of a caller's connection: protocol version, refusal of encryption, authentication.

use std::time::Duration;

use anyhow::{Context, Result};
use bytes::{Buf, BytesMut};
use pg::{Frame, Request, Severity};
use scram::server::{AuthenticationProvider, AuthenticationStatus, PasswordInfo, ScramServer};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Largest message accepted during authentication.
const MAX_MESSAGE_BYTES: usize = 4096;
/// TLS and GSSAPI requests answered on one connection; a real client sends at most one of each.
const MAX_ENCRYPTION_REQUESTS: usize = 2;

/// Salted password of a user.
#[derive(Clone, Debug)]
pub struct Verifier {
    pub hash: Vec<u8>,
    pub salt: Vec<u8>,
    /// Iteration count of the hash.
    pub iterations: u16,
}

/// Request to the event loop for a user's verifier.
#[derive(Debug)]
pub struct Login {
    pub user: String,
    /// Receives the verifier, or None for an unknown user.
    pub reply: oneshot::Sender<Option<Verifier>>,
}

/// An authenticated client connection.
#[derive(Debug)]
pub struct Client {
    pub socket: TcpStream,
    /// Bytes received after the startup messages.
    pub rest: BytesMut,
    /// Parameters of the startup message.
    pub parameters: Vec<(String, String)>,
}

/// Result of a connection's startup.
#[derive(Debug)]
pub enum Outcome {
    Authenticated(Box<Client>),
    /// The connection carried a CancelRequest.
    Cancel {
        /// Process id given to a caller.
        process: i32,
        /// Secret given to the same caller.
        secret: i32,
    },
    /// The connection was refused and is closed.
    Refused(Reason),
}

/// Why a connection was refused before a session began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The time limit of the startup passed.
    Timeout,
    /// The peer closed the connection.
    Closed,
    /// A message that the protocol does not allow.
    Protocol,
    /// A protocol version that is not 3.x.
    Version,
    /// The password is wrong or the user unknown.
    Password,
}

impl Reason {
    /// Reason in the counter `refusals`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Timeout => "start_timeout",
            Self::Closed => "start_closed",
            Self::Protocol => "start_protocol",
            Self::Version => "start_version",
            Self::Password => "start_password",
        }
    }
}

/// Runs the startup of a connection within `limit`.
pub async fn start(socket: TcpStream, logins: mpsc::Sender<Login>, limit: Duration) -> Outcome {
    match timeout(limit, Handshake::new(socket, logins).run()).await {
        Ok(Ok(outcome)) => outcome,
        // The socket failed or the event loop has ended.
        Ok(Err(_)) => Outcome::Refused(Reason::Closed),
        Err(_) => Outcome::Refused(Reason::Timeout),
    }
}

struct Handshake {
    socket: TcpStream,
    logins: mpsc::Sender<Login>,
    buffer: BytesMut,
}

impl Handshake {
    fn new(socket: TcpStream, logins: mpsc::Sender<Login>) -> Self {
        Self {
            socket,
            logins,
            buffer: BytesMut::with_capacity(MAX_MESSAGE_BYTES),
        }
    }

    async fn run(mut self) -> Result<Outcome> {
        for _ in 0..=MAX_ENCRYPTION_REQUESTS {
            let (message, length) = loop {
                match Request::first(&self.buffer) {
                    Ok(Some(found)) => break found,
                    Ok(None) => {}
                    Err(_) => return self.refuse(Reason::Protocol).await,
                }
                if self.socket.read_buf(&mut self.buffer).await? == 0 {
                    return Ok(Outcome::Refused(Reason::Closed));
                }
            };
            match message {
                Request::Ssl | Request::Gss => {
                    self.buffer.advance(length);
                    // Plaintext bytes sent along with the request would be processed as if they had
                    // been encrypted.
                    if !self.buffer.is_empty() {
                        return self.refuse(Reason::Protocol).await;
                    }
                    self.socket.write_all(b"N").await?;
                }
                Request::Cancel { process, secret } => {
                    return Ok(Outcome::Cancel { process, secret });
                }
                Request::UnsupportedVersion(_) => return self.refuse(Reason::Version).await,
                Request::Startup(parameters) => {
                    let owned = parameters.iter().map(|(k, v)| (k.to_owned(), v.to_owned()));
                    let owned: Vec<_> = owned.collect();
                    let minor = parameters.minor;
                    self.buffer.advance(length);
                    return self.authenticate(owned, minor).await;
                }
            }
        }
        self.refuse(Reason::Protocol).await
    }

    async fn authenticate(
        mut self,
        parameters: Vec<(String, String)>,
        minor: i32,
    ) -> Result<Outcome> {
        let user = parameters
            .iter()
            .find(|(name, _)| name == "user")
            .map(|(_, user)| user.clone());
        let Some(user) = user else {
            return self.refuse(Reason::Protocol).await;
        };
        self.negotiate(&parameters, minor).await?;
        let (reply, verifier) = oneshot::channel();
        self.logins
            .send(Login { user, reply })
            .await
            .context("the event loop has ended")?;
        let verifier = verifier.await.context("the event loop has ended")?;
        match self.scram(verifier).await? {
            Ok(()) => {
                let Self { socket, buffer, .. } = self;
                let client = Client {
                    socket,
                    rest: buffer,
                    parameters,
                };
                Ok(Outcome::Authenticated(Box::new(client)))
            }
            Err(reason) => self.refuse(reason).await,
        }
    }

    /// Tells a caller that asked for a later minor version or protocol options that 3.0 is used.
    async fn negotiate(&mut self, parameters: &[(String, String)], minor: i32) -> Result<()> {
        let options: Vec<&str> = parameters
            .iter()
            .map(|(name, _)| &**name)
            .filter(|name| name.starts_with("_pq_."))
            .collect();
        if minor > 0 || !options.is_empty() {
            let mut out = BytesMut::new();
            pg::negotiate_protocol_version(&mut out, &options);
            self.socket.write_all(&out).await?;
        }
        Ok(())
    }

    /// Authenticates with SCRAM-SHA-256. An unknown user fails at the same step as a wrong
    /// password.
    async fn scram(&mut self, verifier: Option<Verifier>) -> Result<Result<(), Reason>> {
        let known = verifier.is_some();
        let server = ScramServer::new(Provider(verifier.unwrap_or_else(Verifier::unknown)));
        let mut out = BytesMut::new();
        pg::auth_sasl(&mut out);
        self.socket.write_all(&out).await?;

        let Some(initial) = self.password_message().await? else {
            return Ok(Err(Reason::Protocol));
        };
        let Some(first) = initial_response(&initial) else {
            return Ok(Err(Reason::Protocol));
        };
        let Ok(first) = server.handle_client_first(first) else {
            return Ok(Err(Reason::Protocol));
        };
        let (last, challenge) = first.server_first();
        out.clear();
        pg::auth_sasl_continue(&mut out, &challenge);
        self.socket.write_all(&out).await?;

        let Some(response) = self.password_message().await? else {
            return Ok(Err(Reason::Protocol));
        };
        let Ok(last) = str::from_utf8(&response)
            .map_err(drop)
            .and_then(|text| last.handle_client_final(text).map_err(drop))
        else {
            return Ok(Err(Reason::Password));
        };
        let (status, signature) = last.server_final();
        if !known || status != AuthenticationStatus::Authenticated {
            return Ok(Err(Reason::Password));
        }
        out.clear();
        pg::auth_sasl_final(&mut out, &signature);
        self.socket.write_all(&out).await?;
        Ok(Ok(()))
    }

    /// Body of the next password message; None if another message arrives.
    async fn password_message(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            match Frame::first(&self.buffer, MAX_MESSAGE_BYTES) {
                Ok(Some(frame)) if frame.tag == b'p' => {
                    let body = frame.body.to_vec();
                    let length = frame.raw.len();
                    self.buffer.advance(length);
                    return Ok(Some(body));
                }
                Ok(None) => {}
                Ok(Some(_)) | Err(_) => return Ok(None),
            }
            anyhow::ensure!(
                self.socket.read_buf(&mut self.buffer).await? > 0,
                "the peer closed the connection"
            );
        }
    }

    async fn refuse(mut self, reason: Reason) -> Result<Outcome> {
        let (code, text) = match reason {
            Reason::Password => ("28P01", "password authentication failed"),
            Reason::Version => ("0A000", "unsupported protocol version, 3.0 is supported"),
            Reason::Protocol | Reason::Timeout | Reason::Closed => ("08P01", "protocol violation"),
        };
        let mut out = BytesMut::new();
        pg::error_response(&mut out, Severity::Fatal, code, text);
        // The peer may have disconnected already.
        let _sent = self.socket.write_all(&out).await;
        let _closed = self.socket.shutdown().await;
        Ok(Outcome::Refused(reason))
    }
}

impl Verifier {
    /// A verifier that no password matches, of the same form as a real one.
    fn unknown() -> Self {
        Self {
            hash: rand::random::<[u8; 32]>().to_vec(),
            salt: rand::random::<[u8; 16]>().to_vec(),
            iterations: 4096,
        }
    }
}

/// Returns its verifier for any user name in the SCRAM message: the protocol says to ignore that
/// name, and clients leave it empty.
struct Provider(Verifier);

impl AuthenticationProvider for Provider {
    fn get_password_for(&self, _user: &str) -> Option<PasswordInfo> {
        let Verifier {
            hash,
            salt,
            iterations,
        } = self.0.clone();
        Some(PasswordInfo::new(hash, iterations, salt))
    }
}

/// Data of a SASLInitialResponse for SCRAM-SHA-256.
fn initial_response(body: &[u8]) -> Option<&str> {
    let rest = body
        .strip_prefix(pg::SCRAM_SHA_256.as_bytes())?
        .strip_prefix(&[0])?;
    let (length, data) = rest.split_first_chunk::<4>()?;
    let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
    str::from_utf8(data)
        .ok()
        .filter(|data| data.len() == length)
}
