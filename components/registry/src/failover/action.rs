//! Inputs and actions of the failover state machine.

use types::Point;
use types::target::Role;

/// A command to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Command {
    /// Report role and positions.
    Status,
    /// Stop receiving replicated data until a promotion to this term.
    Pause(u64),
    /// Stop acting as primary if the own term is lower than this one.
    StepDown(u64),
    /// Prove to be the primary: only a primary can begin a transaction that may write.
    Verify,
}

/// Role and positions that a server reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    pub role: Role,
    pub term: u64,
    /// End of the received log, which may not be applied yet.
    pub received: Point,
    /// Term of the pause in force; 0 for none.
    pub paused: u64,
}

/// Reply of the platform to a promotion request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Promotion {
    /// The promotion has taken effect or soon will.
    Accepted,
    /// The server is not running, or the platform has seen a higher token.
    Refused,
    /// No reply, or temporarily refused; the promotion may still be carried out.
    Unknown,
}

/// Bound of the acknowledged commits of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cover {
    /// Log index up to which departures of servers are covered.
    pub until: u64,
    /// Every commit acknowledged so far is at this point or before it.
    pub point: Point,
    /// No server has led or will lead a later term before the next choice.
    pub term: u64,
}

/// What the caller of the state machine has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a command to a server and pass its answer to [`Machine::on_answer`].
    Command { id: String, command: Command },
    /// Propose this server as the next primary.
    Choose {
        id: String,
        /// Has to precede the choice in the log; `None` if the server leads already.
        cover: Option<Cover>,
    },
    /// Propose to record the end of the acknowledged commits.
    Cover(Cover),
    /// Ask the platform to promote a server.
    Promote {
        id: String,
        /// Fencing token.
        token: u64,
    },
    /// Propose to record that a promotion has taken effect.
    Confirm {
        /// Fencing token of the promotion.
        token: u64,
    },
}

/// State of a service's primary as judged by the leading coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Serving,
    /// Not enough evidence for either verdict.
    Unknown,
    Failed,
}

/// Observations that a step is based on.
#[derive(Clone, Copy, Debug)]
pub struct Signals {
    /// State of the present primary.
    pub verdict: Verdict,
    /// Highest term of any server of the service, if known.
    pub term: Option<u64>,
    /// End of the primary's log when it last proved to be the primary.
    pub last_led_point: Option<Point>,
    /// It was asked for this proof after every departure that the registry holds.
    pub led_after_departures: bool,
    /// Invariant: some commit of which a caller knows is at this point or past it, so that a log which
    /// ends before it lacks the commit. `None` if this leader knows of no such commit. It does not grow
    /// by new commits while [`crate::Machine::admits_commits`] is false.
    pub watermark: Option<Point>,
}
