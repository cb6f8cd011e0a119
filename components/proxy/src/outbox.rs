//! Messages to a lender.

use tokio::sync::mpsc;
use wire::Borrow;

/// Queue of the messages to a lender.
#[derive(Debug)]
pub struct Outbox {
    out: mpsc::Sender<Borrow>,
    must_close: bool,
}

impl Outbox {
    #[must_use]
    pub fn new(out: mpsc::Sender<Borrow>) -> Self {
        Self {
            out,
            must_close: false,
        }
    }

    /// Sends a message. Returns false if the queue is full or the stream has ended.
    pub fn send(&mut self, message: Borrow) -> bool {
        self.out.try_send(message).is_ok()
    }

    /// Tells the lender that a loan has ended. If the queue is full, the stream has to be closed, as
    /// the lender would keep the connection lent until then.
    pub fn return_loan(&mut self, loan: u64, clean: bool) {
        self.must_close |= !self.send(Borrow::Return { loan, clean });
    }

    /// Whether the lender could not be told of the end of a loan.
    #[must_use]
    pub fn must_close(&self) -> bool {
        self.must_close
    }
}
