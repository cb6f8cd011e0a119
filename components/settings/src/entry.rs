//! Settings of an entry process.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use types::Name;

use crate::check::{Check, address, bytes, convert};
use crate::file::Kind;
use crate::generated::entry as raw;
use crate::schema::Invalid;
use crate::{Log, Secret};

/// Bytes of a SCRAM-SHA-256 salted password: the output of SHA-256.
const HASH_BYTES: usize = 32;

/// Settings of an entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of this instance.
    pub instance: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of announcements, readiness and metrics.
    pub http: SocketAddr,
    /// Bearer token of announcements.
    pub token: Secret,
    /// Link addresses of the control instances. Invariant: distinct, at least one.
    pub control: Vec<SocketAddr>,
    /// File with the last catalog, for a restart while cut off.
    pub cache: Option<PathBuf>,
    /// Keys of session tokens; the first signs. Invariant: one or two, with distinct ids.
    pub session_keys: Vec<Key>,
    /// Users that may connect. Invariant: distinct user names.
    pub callers: Vec<Caller>,
    /// User for connections to targets.
    pub target_user: String,
    /// Largest number of callers' connections.
    pub max_callers: usize,
    /// Largest number of connections that have not authenticated.
    pub max_starting: usize,
    /// Largest frame taken from a caller, in bytes.
    pub max_frame: usize,
    /// Longest start-up and authentication.
    pub start_timeout: Duration,
    /// Longest graceful stop.
    pub stop_timeout: Duration,
    /// The log.
    pub log: Log,
}

/// Key of session tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Key id inside a token.
    pub id: u8,
    /// Secret of the message authentication code.
    pub secret: Secret,
}

/// A user that may connect.
#[derive(Clone, Eq, PartialEq)]
pub struct Caller {
    /// User name.
    pub user: String,
    /// Salt of the password.
    pub salt: Vec<u8>,
    /// Iteration count.
    pub iterations: u32,
    /// Salted password of SCRAM-SHA-256. Invariant: 32 bytes.
    pub hash: Vec<u8>,
}

/// Hides the salted password, which is enough to log in.
impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Caller")
            .field("user", &self.user)
            .field("iterations", &self.iterations)
            .finish_non_exhaustive()
    }
}

impl Kind for Entry {
    type Raw = raw::Entry;
    const SCHEMA: &'static str = include_str!("../../../schema/settings/entry.json");

    fn check(check: &mut Check<'_, '_>) {
        let control = check.items("/control", "");
        check.addresses(&["/listen", "/http"]);
        check.addresses(&control);
        check.distinct(&["/listen", "/http"]);
        check.distinct(&control);
        check.distinct(&check.items("/session_keys", "/id"));
        check.distinct(&check.items("/session_keys", "/secret"));
        check.distinct(&check.items("/callers", "/user"));
        check.base64(&check.items("/callers", "/salt"), None);
        check.base64(&check.items("/callers", "/hash"), Some(HASH_BYTES));
    }
}

impl TryFrom<raw::Entry> for Entry {
    type Error = Invalid;

    fn try_from(raw: raw::Entry) -> Result<Self, Invalid> {
        let start_timeout = convert("/start_timeout_ms", raw.start_timeout_ms)?;
        let stop_timeout = convert("/stop_timeout_ms", raw.stop_timeout_ms)?;
        let control = raw.control.iter().map(|text| address("/control", text));
        let keys = raw.session_keys.into_iter().map(Key::try_from);
        let callers = raw.callers.into_iter().map(Caller::try_from);
        Ok(Self {
            instance: convert("/instance", raw.instance.as_str())?,
            domain: convert("/domain", raw.domain.as_str())?,
            listen: address("/listen", &raw.listen)?,
            http: address("/http", &raw.http)?,
            token: Secret::new(raw.token.into()),
            control: control.collect::<Result<_, _>>()?,
            cache: raw.cache.map(|file| String::from(file).into()),
            session_keys: keys.collect::<Result<_, _>>()?,
            callers: callers.collect::<Result<_, _>>()?,
            target_user: raw.target_user.into(),
            max_callers: convert("/max_callers", raw.max_callers.get())?,
            max_starting: convert("/max_starting", raw.max_starting.get())?,
            max_frame: convert("/max_frame_bytes", raw.max_frame_bytes)?,
            start_timeout: Duration::from_millis(start_timeout),
            stop_timeout: Duration::from_millis(stop_timeout),
            log: raw.log.into(),
        })
    }
}

impl TryFrom<raw::Key> for Key {
    type Error = Invalid;

    fn try_from(raw: raw::Key) -> Result<Self, Invalid> {
        Ok(Self {
            id: convert("/session_keys", raw.id)?,
            secret: Secret::new(raw.secret.into()),
        })
    }
}

impl TryFrom<raw::Caller> for Caller {
    type Error = Invalid;

    fn try_from(raw: raw::Caller) -> Result<Self, Invalid> {
        Ok(Self {
            user: raw.user.into(),
            salt: bytes("/callers", &raw.salt)?,
            iterations: convert("/callers", raw.iterations)?,
            hash: bytes("/callers", &raw.hash)?,
        })
    }
}
