//! Settings of an entry process.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use types::Name;

use crate::check::{Check, convert, decode_base64, parse_address};
use crate::file::Kind;
use crate::generated::entry as raw;
use crate::schema::Invalid;
use crate::{Log, Secret};

/// Size of a SCRAM-SHA-256 salted password: the output of SHA-256.
const HASH_BYTES: usize = 32;

/// Settings of an entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of this instance.
    pub instance: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for announcements, readiness and metrics.
    pub http: SocketAddr,
    /// Bearer token that announcements must carry.
    pub token: Secret,
    /// Link addresses of the control instances. Invariant: distinct, at least one.
    pub control: Vec<SocketAddr>,
    /// File that caches the last catalog, for a restart while control is unreachable.
    pub cache: Option<PathBuf>,
    /// Keys that verify session tokens; the first also signs them. Invariant: one or two, with
    /// distinct ids.
    pub session_keys: Vec<Key>,
    /// Users that may connect. Invariant: user names are distinct.
    pub callers: Vec<Caller>,
    /// PostgreSQL user of connections to targets.
    pub target_user: String,
    /// Maximum number of connections of callers.
    pub max_callers: usize,
    /// Maximum number of connections that are not authenticated yet.
    pub max_starting: usize,
    /// Maximum size of a frame from a caller, in bytes.
    pub max_frame: usize,
    /// Timeout of start-up and authentication of a connection.
    pub start_timeout: Duration,
    /// Timeout of a graceful stop.
    pub stop_timeout: Duration,
    pub log: Log,
}

/// Key that signs and verifies session tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Key id that a token carries.
    pub id: u8,
    /// Key of the message authentication code.
    pub secret: Secret,
}

/// A user that may connect.
#[derive(Clone, Eq, PartialEq)]
pub struct Caller {
    pub user: String,
    /// Salt of the password.
    pub salt: Vec<u8>,
    /// Iteration count of SCRAM-SHA-256.
    pub iterations: u32,
    /// Salted password of SCRAM-SHA-256. Invariant: 32 bytes.
    pub hash: Vec<u8>,
}

/// Omits the salted password, which is sufficient to log in.
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
        let control = check.item_paths("/control", "");
        check.require_addresses(&["/listen", "/http"]);
        check.require_addresses(&control);
        check.require_distinct(&["/listen", "/http"]);
        check.require_distinct(&control);
        check.require_distinct(&check.item_paths("/session_keys", "/id"));
        check.require_distinct(&check.item_paths("/session_keys", "/secret"));
        check.require_distinct(&check.item_paths("/callers", "/user"));
        check.require_base64(&check.item_paths("/callers", "/salt"), None);
        check.require_base64(&check.item_paths("/callers", "/hash"), Some(HASH_BYTES));
    }
}

impl TryFrom<raw::Entry> for Entry {
    type Error = Invalid;

    fn try_from(raw: raw::Entry) -> Result<Self, Invalid> {
        let start_timeout = convert("/start_timeout_ms", raw.start_timeout_ms)?;
        let stop_timeout = convert("/stop_timeout_ms", raw.stop_timeout_ms)?;
        let control = raw
            .control
            .iter()
            .map(|text| parse_address("/control", text));
        let keys = raw.session_keys.into_iter().map(Key::try_from);
        let callers = raw.callers.into_iter().map(Caller::try_from);
        Ok(Self {
            instance: convert("/instance", raw.instance.as_str())?,
            domain: convert("/domain", raw.domain.as_str())?,
            listen: parse_address("/listen", &raw.listen)?,
            http: parse_address("/http", &raw.http)?,
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
            salt: decode_base64("/callers", &raw.salt)?,
            iterations: convert("/callers", raw.iterations)?,
            hash: decode_base64("/callers", &raw.hash)?,
        })
    }
}
