use std::time::{Duration, Instant};

use actix::{Actor, Context, Handler};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yuccawing_core::rules::Rules;

use super::{CALL_TIMEOUT, Link, LinkError, PeerCall, serve};

// Peer that answers `head` and leaves all other calls without an answer.
#[derive(Default)]
struct Peer(Vec<PeerCall>);

impl Actor for Peer {
    type Context = Context<Self>;
}

impl Handler<PeerCall> for Peer {
    type Result = ();

    fn handle(&mut self, call: PeerCall, _: &mut Self::Context) {
        match call {
            PeerCall::Head(answer) => {
                let _ = answer.send(Some(Rules::default().render(3).head));
            }
            call => self.0.push(call),
        }
    }
}

async fn head(link: &Link) -> Result<u64, LinkError> {
    let head = link.call(CALL_TIMEOUT, |c, x| async move { c.head(x).await }).await?;
    Ok(head.map_or(0, |h| h.version))
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[actix_rt::test] async fn $name() $body)* };
}

cases! {
    // Guards against a link that keeps using a connection on which no answers arrive any more.
    a_silent_connection_is_replaced: {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Link::new(listener.local_addr().unwrap(), None);
        let stop = CancellationToken::new();
        let peer = Peer::default().start();
        let token = stop.clone();
        actix_rt::spawn(async move {
            let unserved = listener.accept().await;
            serve(listener, None, peer.recipient(), token).await;
            drop(unserved);
        });
        let start = Instant::now();
        assert!(matches!(head(&link).await, Err(LinkError::Timeout(..))));
        assert!(start.elapsed() >= CALL_TIMEOUT);
        // Less than the 3 s of a lease, so that the lease is not lost.
        let replaced = async { while head(&link).await.ok() != Some(3) {} };
        tokio::time::timeout(Duration::from_secs(2), replaced).await.unwrap();
        stop.cancel();
    }
    // Guards against a call that never ends because the host is down.
    a_host_that_is_down_is_an_error: {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Link::new(listener.local_addr().unwrap(), None);
        drop(listener);
        let out = tokio::time::timeout(Duration::from_secs(10), head(&link)).await.unwrap();
        assert!(matches!(out, Err(LinkError::Connect(..))));
    }
    // Guards against a connection that is closed because of a single late answer. Under load, this
    // closed connections faster than they could be opened, and the lease was lost.
    one_late_answer_does_not_close_the_connection: {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Link::new(listener.local_addr().unwrap(), None);
        let stop = CancellationToken::new();
        let accepted = std::rc::Rc::new(std::cell::Cell::new(0));
        let (count, peer, token) = (accepted.clone(), Peer::default().start(), stop.clone());
        let inner = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = inner.local_addr().unwrap();
        actix_rt::spawn(serve(inner, None, peer.recipient(), token));
        actix_rt::spawn(async move {
            while let Ok((mut a, _)) = listener.accept().await {
                count.set(count.get() + 1);
                let mut b = tokio::net::TcpStream::connect(target).await.unwrap();
                actix_rt::spawn(async move {
                    let _ = tokio::io::copy_bidirectional(&mut a, &mut b).await;
                });
            }
        });
        for _ in 0..5 {
            let limit = Duration::from_millis(50);
            let late = link.call(limit, |c, x| async move { c.part(x, "d".into()).await }).await;
            assert!(late.is_err());
            assert_eq!(head(&link).await.unwrap(), 3);
        }
        assert_eq!(accepted.get(), 1);
        stop.cancel();
    }
    // Guards against a call without an answer that blocks other calls on the same connection.
    calls_share_a_connection_independently: {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Link::new(listener.local_addr().unwrap(), None);
        let stop = CancellationToken::new();
        actix_rt::spawn(serve(listener, None, Peer::default().start().recipient(), stop.clone()));
        let slow = link.call(CALL_TIMEOUT, |c, x| async move { c.part(x, "d".into()).await });
        let (slow, fast) = futures::join!(slow, head(&link));
        assert_eq!(fast.unwrap(), 3);
        assert!(matches!(slow, Ok(None) | Err(_)));
        stop.cancel();
    }
}
