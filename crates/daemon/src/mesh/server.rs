//! Server side: hands each call to the control thread.

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

use super::{FRAME_LIMIT, Mesh, Probe};
use crate::tls::{self, Tls};

/// Connections from peers at once: the group, its probers and reconnects, with room.
const CONNECTION_LIMIT: usize = 64;
/// A peer calls at least every probe interval, so a connection without a call for this long is
/// dead.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Calls of one connection that are in progress at once.
const CALLS_LIMIT: usize = 1024;
/// Longest wait for a load behind a pin: the largest request deadline.
const PIN_LIMIT: Duration = Duration::from_secs(120);

/// One-shot channel for the answer to a peer.
pub type Answer<T> = oneshot::Sender<T>;

/// A call of a peer, for the control thread.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum PeerCall {
    /// See [`Mesh::confirm`].
    Confirm(LeaseRequest, Answer<Option<Vote>>),
    /// See [`Mesh::borrow`].
    Borrow(Ordinal, BorrowRequest, Answer<Option<BorrowAnswer>>),
    /// See [`Mesh::probe`].
    Probe(Probe, Answer<Option<Probe>>),
    /// See [`Mesh::head`].
    Head(Answer<Option<Head>>),
    /// See [`Mesh::part`].
    Part(ArcStr, Answer<Option<ArcStr>>),
    /// See [`Mesh::pin`].
    Pin(PinRequest, Answer<PinAnswer>),
    /// See [`Mesh::unpin`].
    Unpin(PinRelease),
}

#[derive(Clone)]
struct Server {
    control: Recipient<PeerCall>,
}

impl Server {
    async fn ask<T>(&self, limit: Duration, call: impl FnOnce(Answer<T>) -> PeerCall) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.control.try_send(call(tx)).ok()?;
        timeout(limit, rx).await.ok()?.ok()
    }
}

impl Mesh for Server {
    async fn confirm(self, _: Context, request: LeaseRequest) -> Option<Vote> {
        self.ask(super::CALL_LIMIT, |a| PeerCall::Confirm(request, a)).await.flatten()
    }

    async fn borrow(self, _: Context, from: Ordinal, r: BorrowRequest) -> Option<BorrowAnswer> {
        self.ask(super::CALL_LIMIT, |a| PeerCall::Borrow(from, r, a)).await.flatten()
    }

    async fn probe(self, _: Context, probe: Probe) -> Option<Probe> {
        self.ask(super::CALL_LIMIT, |a| PeerCall::Probe(probe, a)).await.flatten()
    }

    async fn head(self, _: Context) -> Option<Head> {
        self.ask(super::CALL_LIMIT, PeerCall::Head).await.flatten()
    }

    async fn part(self, _: Context, digest: ArcStr) -> Option<ArcStr> {
        self.ask(super::CALL_LIMIT, |a| PeerCall::Part(digest, a)).await.flatten()
    }

    async fn pin(self, _: Context, request: PinRequest) -> Option<PinAnswer> {
        let limit = request.wait.min(PIN_LIMIT);
        self.ask(limit, |a| PeerCall::Pin(request, a)).await
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
    let slots = Rc::new(Cell::new(CONNECTION_LIMIT));
    loop {
        let (stream, _) = tokio::select! {
            () = stop.cancelled() => return,
            x = listener.accept() => match x {
                Ok(x) => x,
                // Out of file descriptors, for example: wait for others to end.
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
    // A caller that is not a host of the system ends here.
    let Ok(stream) = tls::accept(tls.as_ref(), stream).await else { return };
    let framed = LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_framed(stream);
    let transport = serde_transport::new(framed, Bincode::default());
    let mut requests = BaseChannel::with_defaults(transport).requests();
    let open = Rc::new(Cell::new(0usize));
    while let Ok(Some(Ok(request))) = timeout(IDLE_LIMIT, requests.next()).await {
        if open.get() >= CALLS_LIMIT {
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
