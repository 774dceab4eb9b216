//! Server side of the RPC: passes the calls of peers to the control thread.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix::{Message, Recipient};
use arcstr::ArcStr;
use futures::StreamExt;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    time::timeout,
};
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};
use yuccawing_core::{
    allowance::{BorrowAnswer, BorrowRequest},
    ids::Ordinal,
    lease::{LeaseRequest, Vote},
    placement::{PinAnswer, PinRelease, PinRequest},
    rules::Head,
};

use super::{MAX_FRAME_BYTES, Mesh, Probe};
use crate::tls::{self, Tls};

/// Limit on concurrent connections. It is enough for the hosts of the group, hosts of other groups,
/// which only probe, and reconnects.
const MAX_CONNECTIONS: usize = 64;
/// Time without a call after which a connection is closed. Peers call at least once in each probe
/// interval.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit on concurrent calls of one connection; further calls are dropped.
const MAX_CONCURRENT_CALLS: usize = 1024;
/// Maximum wait for a pin, which may need a load: the largest deadline of a request.
const MAX_PIN_WAIT: Duration = Duration::from_secs(120);

/// Channel for the answer to a peer.
pub type AnswerSender<T> = oneshot::Sender<T>;

/// A call of a peer, sent to the control thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum PeerCall {
    /// See [`Mesh::vote`].
    Vote(LeaseRequest, AnswerSender<Option<Vote>>),
    /// See [`Mesh::borrow`].
    Borrow(Ordinal, BorrowRequest, AnswerSender<Option<BorrowAnswer>>),
    /// See [`Mesh::probe`].
    Probe(Probe, AnswerSender<Option<Probe>>),
    /// See [`Mesh::head`].
    Head(AnswerSender<Option<Head>>),
    /// See [`Mesh::part`].
    Part(ArcStr, AnswerSender<Option<ArcStr>>),
    /// See [`Mesh::pin`].
    Pin(PinRequest, AnswerSender<PinAnswer>),
    /// See [`Mesh::unpin`].
    Unpin(PinRelease),
}

#[derive(Clone)]
struct Server {
    control: Recipient<PeerCall>,
}

impl Server {
    async fn call_control<T>(
        &self,
        limit: Duration,
        call: impl FnOnce(AnswerSender<T>) -> PeerCall,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.control.try_send(call(tx)).ok()?;
        timeout(limit, rx).await.ok()?.ok()
    }
}

impl Mesh for Server {
    async fn vote(self, _: Context, request: LeaseRequest) -> Option<Vote> {
        self.call_control(super::CALL_TIMEOUT, |a| PeerCall::Vote(request, a)).await.flatten()
    }

    async fn borrow(self, _: Context, from: Ordinal, r: BorrowRequest) -> Option<BorrowAnswer> {
        self.call_control(super::CALL_TIMEOUT, |a| PeerCall::Borrow(from, r, a)).await.flatten()
    }

    async fn probe(self, _: Context, probe: Probe) -> Option<Probe> {
        self.call_control(super::CALL_TIMEOUT, |a| PeerCall::Probe(probe, a)).await.flatten()
    }

    async fn head(self, _: Context) -> Option<Head> {
        self.call_control(super::CALL_TIMEOUT, PeerCall::Head).await.flatten()
    }

    async fn part(self, _: Context, digest: ArcStr) -> Option<ArcStr> {
        self.call_control(super::CALL_TIMEOUT, |a| PeerCall::Part(digest, a)).await.flatten()
    }

    async fn pin(self, _: Context, request: PinRequest) -> Option<PinAnswer> {
        let limit = request.wait.min(MAX_PIN_WAIT);
        self.call_control(limit, |a| PeerCall::Pin(request, a)).await
    }

    async fn unpin(self, _: Context, unpin: PinRelease) {
        let _ = self.control.try_send(PeerCall::Unpin(unpin));
    }
}

/// Serves peers on `listener` until `stop` is cancelled.
pub async fn serve(
    listener: TcpListener,
    tls: Option<Tls>,
    control: Recipient<PeerCall>,
    stop: CancellationToken,
) {
    let slots = Rc::new(Cell::new(MAX_CONNECTIONS));
    loop {
        let (stream, _) = tokio::select! {
            () = stop.cancelled() => return,
            x = listener.accept() => match x {
                Ok(x) => x,
                // For example out of file descriptors; waits until some are closed.
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            },
        };
        if slots.get() == 0 {
            continue;
        }
        slots.set(slots.get() - 1);
        let (slots, stop, tls) = (slots.clone(), stop.clone(), tls.clone());
        let server = Server { control: control.clone() };
        actix_rt::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection(stream, tls, server) => {}
            }
            slots.set(slots.get() + 1);
        });
    }
}

async fn connection(stream: TcpStream, tls: Option<Tls>, server: Server) {
    let _ = stream.set_nodelay(true);
    // With TLS, this rejects clients without a certificate of a host.
    let Ok(stream) = tls::accept(tls.as_ref(), stream).await else { return };
    let framed =
        LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let mut requests = BaseChannel::with_defaults(transport).requests();
    let open = Rc::new(Cell::new(0usize));
    while let Ok(Some(Ok(request))) = timeout(IDLE_TIMEOUT, requests.next()).await {
        if open.get() >= MAX_CONCURRENT_CALLS {
            continue;
        }
        open.set(open.get() + 1);
        let (open, server) = (open.clone(), server.clone());
        actix_rt::spawn(async move {
            request.execute(server.serve()).await;
            open.set(open.get() - 1);
        });
    }
}
