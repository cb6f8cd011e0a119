//! Plans: parsed statements in the form that the server runs.

use crate::value::{Type, Value};

#[derive(Clone, Debug)]
pub(crate) enum Plan {
    Select(Select),
    Insert(Insert),
    Update(Update),
    Delete(Delete),
    Create {
        table: Schema,
        /// IF NOT EXISTS.
        ignore_existing: bool,
    },
    Drop {
        tables: Vec<String>,
        /// IF EXISTS.
        ignore_missing: bool,
    },
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Savepoint(String),
    RollbackTo(String),
    Release(String),
    SetReadOnly(bool),
    Set {
        name: String,
        value: String,
        local: bool,
    },
    Reset(Option<String>),
    Show(String),
    Discard,
    Deallocate(Option<String>),
    AlterSystem {
        name: String,
        value: String,
    },
}

/// Definition of a table; `key` has the positions of the primary key's columns.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Schema {
    pub(crate) name: String,
    pub(crate) columns: Vec<Column>,
    pub(crate) key: Vec<usize>,
}

#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) kind: Type,
    pub(crate) not_null: bool,
    pub(crate) default: Option<Value>,
}

impl Schema {
    pub(crate) fn position(&self, column: &str) -> Option<usize> {
        self.columns.iter().position(|c| c.name == column)
    }
}

/// FROM clause of a SELECT.
#[derive(Clone, Debug)]
pub(crate) enum Source {
    Nothing,
    /// `pg_control_checkpoint()`.
    Checkpoint,
    Table(String),
}

#[derive(Clone, Debug)]
pub(crate) struct Select {
    pub(crate) items: Vec<Item>,
    pub(crate) source: Source,
    pub(crate) filter: Option<Expr>,
    pub(crate) order: Vec<Order>,
    pub(crate) limit: Option<Expr>,
    pub(crate) offset: Option<Expr>,
    /// FOR UPDATE or another locking clause.
    pub(crate) for_update: bool,
    pub(crate) aggregate: bool,
    /// Argument of `pg_sleep`: the statement occupies a slot for that time.
    pub(crate) sleep: Option<Expr>,
    /// Uses no table, only functions about the server's state, and therefore needs no slot.
    pub(crate) administrative: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) expr: Expr,
    pub(crate) descending: bool,
    pub(crate) nulls_first: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum Item {
    All,
    Expr { expr: Expr, name: String },
}

#[derive(Clone, Debug)]
pub(crate) struct Insert {
    pub(crate) table: String,
    pub(crate) columns: Vec<String>,
    pub(crate) rows: Vec<Vec<Option<Expr>>>,
    pub(crate) skip_conflicts: bool,
    pub(crate) returning: Vec<Item>,
}

#[derive(Clone, Debug)]
pub(crate) struct Update {
    pub(crate) table: String,
    pub(crate) set: Vec<(String, Expr)>,
    pub(crate) filter: Option<Expr>,
    pub(crate) returning: Vec<Item>,
}

#[derive(Clone, Debug)]
pub(crate) struct Delete {
    pub(crate) table: String,
    pub(crate) filter: Option<Expr>,
    pub(crate) returning: Vec<Item>,
}

#[derive(Clone, Debug)]
pub(crate) enum Expr {
    Const(Value, Type),
    Param(usize),
    Column(String),
    Not(Box<Self>),
    Negate(Box<Self>),
    Binary(Operator, Box<Self>, Box<Self>),
    /// The flag negates the predicate.
    IsNull(Box<Self>, bool),
    /// The flag negates the predicate.
    In(Box<Self>, Vec<Self>, bool),
    /// Conditions with their results, and the result of ELSE.
    Case(Vec<(Self, Self)>, Option<Box<Self>>),
    Cast(Box<Self>, Type),
    Call(Function, Vec<Self>),
    Aggregate(Aggregate, Option<Box<Self>>),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Operator {
    And,
    Or,
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Add,
    Subtract,
    Multiply,
    Divide,
    Modulo,
    Concat,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Aggregate {
    Count,
    Sum,
    Min,
    Max,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Function {
    IsInRecovery,
    CurrentLsn,
    ReplayLsn,
    ReceiveLsn,
    Promote,
    Reload,
    Sleep,
    Fault,
    BackendPid,
    Version,
    CurrentDatabase,
    CurrentUser,
    CurrentSetting,
    LsnDiff,
    Coalesce,
    Length,
    Lower,
    Upper,
    Abs,
}

impl Function {
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "pg_is_in_recovery" => Self::IsInRecovery,
            "pg_current_wal_lsn" | "pg_current_wal_flush_lsn" | "pg_current_wal_insert_lsn" => {
                Self::CurrentLsn
            }
            "pg_last_wal_replay_lsn" => Self::ReplayLsn,
            "pg_last_wal_receive_lsn" => Self::ReceiveLsn,
            "pg_promote" => Self::Promote,
            "pg_reload_conf" => Self::Reload,
            "pg_sleep" => Self::Sleep,
            "standin_fault" => Self::Fault,
            "pg_backend_pid" => Self::BackendPid,
            "version" => Self::Version,
            "current_database" => Self::CurrentDatabase,
            "current_user" | "session_user" => Self::CurrentUser,
            "current_setting" => Self::CurrentSetting,
            "pg_wal_lsn_diff" => Self::LsnDiff,
            "coalesce" => Self::Coalesce,
            "length" => Self::Length,
            "lower" => Self::Lower,
            "upper" => Self::Upper,
            "abs" => Self::Abs,
            _ => return None,
        })
    }

    /// Minimum and maximum number of arguments.
    pub(crate) fn arity(self) -> (usize, usize) {
        match self {
            Self::Sleep | Self::Length | Self::Lower | Self::Upper | Self::Abs => (1, 1),
            Self::Fault | Self::CurrentSetting => (1, 2),
            Self::LsnDiff => (2, 2),
            Self::Coalesce => (1, usize::MAX),
            Self::Promote => (0, 2),
            _ => (0, 0),
        }
    }

    /// Whether the function reads or changes the state of the server.
    pub(crate) fn is_administrative(self) -> bool {
        matches!(
            self,
            Self::IsInRecovery
                | Self::CurrentLsn
                | Self::ReplayLsn
                | Self::ReceiveLsn
                | Self::Promote
                | Self::Reload
                | Self::Fault
        )
    }
}

impl Expr {
    /// Visits this expression and all its subexpressions.
    pub(crate) fn walk<'a>(&'a self, visit: &mut impl FnMut(&'a Self)) {
        visit(self);
        match self {
            Self::Const(..) | Self::Param(_) | Self::Column(_) => {}
            Self::Not(e) | Self::Negate(e) | Self::IsNull(e, _) | Self::Cast(e, _) => e.walk(visit),
            Self::Binary(_, a, b) => {
                a.walk(visit);
                b.walk(visit);
            }
            Self::In(e, list, _) => {
                e.walk(visit);
                list.iter().for_each(|e| e.walk(visit));
            }
            Self::Case(arms, otherwise) => {
                for (when, then) in arms {
                    when.walk(visit);
                    then.walk(visit);
                }
                if let Some(e) = otherwise {
                    e.walk(visit);
                }
            }
            Self::Call(_, args) => args.iter().for_each(|e| e.walk(visit)),
            Self::Aggregate(_, arg) => {
                if let Some(e) = arg {
                    e.walk(visit);
                }
            }
        }
    }
}

impl Plan {
    /// Command name in the command tag, without the row count.
    pub(crate) fn command(&self) -> &'static str {
        match self {
            Self::Select(_) => "SELECT",
            Self::Insert(_) => "INSERT",
            Self::Update(_) => "UPDATE",
            Self::Delete(_) => "DELETE",
            Self::Create { .. } => "CREATE TABLE",
            Self::Drop { .. } => "DROP TABLE",
            Self::Begin { .. } => "BEGIN",
            Self::Commit => "COMMIT",
            Self::Rollback | Self::RollbackTo(_) => "ROLLBACK",
            Self::Savepoint(_) => "SAVEPOINT",
            Self::Release(_) => "RELEASE",
            Self::SetReadOnly(_) | Self::Set { .. } => "SET",
            Self::Reset(_) => "RESET",
            Self::Show(_) => "SHOW",
            Self::Discard => "DISCARD ALL",
            Self::Deallocate(_) => "DEALLOCATE",
            Self::AlterSystem { .. } => "ALTER SYSTEM",
        }
    }

    /// Whether the statement writes to tables or locks rows.
    pub(crate) fn writes(&self) -> bool {
        matches!(
            self,
            Self::Insert(_)
                | Self::Update(_)
                | Self::Delete(_)
                | Self::Create { .. }
                | Self::Drop { .. }
        ) || matches!(self, Self::Select(select) if select.for_update)
    }
}
