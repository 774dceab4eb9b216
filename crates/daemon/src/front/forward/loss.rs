//! Finds out whether a replica has ended when its connection breaks in the middle of a request.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};
use yuccawing_core::fleet::dispatch::Assignment;

use super::{CallError, CallerRequest, Failure, ReplicaEnded, Worker};

/// Time limit of the check. A refused connection is refused within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time until a second check: a process that is ending may close its listener last.
const RECHECK_DELAY: Duration = Duration::from_millis(50);

impl Failure {
    /// Whether the response had begun when the connection broke; `None` if it did not break.
    fn broken_in_response(&self) -> Option<bool> {
        match self {
            Self::Call(CallError::Broken(_)) => Some(false),
            Self::Cut(CallError::Broken(_)) | Self::PartialEvent | Self::NoEvent => Some(true),
            _ => None,
        }
    }
}

/// Tells the control actor about a replica that ended before it had responded to a request with
/// more than one event. A replica that goes on listening has only broken the connection.
pub(super) async fn report_ended(w: &Worker, r: &CallerRequest, a: &Assignment, f: &Failure) {
    let Some(begun) = f.broken_in_response() else { return };
    let features = r.request.features();
    let ended = ReplicaEnded { id: r.id.clone(), replica: a.replica, begun, features };
    let (control, address) = (w.shared.control.clone(), a.address);
    if is_refused(address).await {
        control.do_send(ended);
        return;
    }
    // Not awaited, so that a retry after a mere reset is not delayed.
    actix_rt::spawn(async move {
        sleep(RECHECK_DELAY).await;
        if is_refused(address).await {
            control.do_send(ended);
        }
    });
}

async fn is_refused(address: SocketAddr) -> bool {
    let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
