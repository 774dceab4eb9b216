//! UDP messages between hosts. A digest replaces the one before it, so nothing is retransmitted on
//! loss, and there is no connection that could go silent. This is why `tarpc` is not used here.

#[cfg(test)]
mod tests;

use std::{net::SocketAddr, sync::Arc};

use actix::{Addr, Message as ActixMessage};
use slog::{Logger, kv};
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use yuccawing_core::fleet::{digest::Message, receipt::Receipt};

use super::control::Control;
use crate::events::{Event, emit};

/// Largest UDP payload over IPv4, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A message that arrived from a peer.
#[derive(ActixMessage)]
#[rtype(result = "()")]
pub struct Received {
    /// Source address.
    pub from: SocketAddr,
    /// Decoded message.
    pub message: Message,
    /// Bounds the time for which the message has waited; none if it states no age, or if its sender has
    /// received no digest of this host.
    pub receipt: Option<Receipt>,
}

/// Receives datagrams and passes them to the control actor until the host stops.
pub async fn receive(
    socket: Arc<UdpSocket>,
    control: Addr<Control>,
    log: Logger,
    stop: CancellationToken,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = stop.run_until_cancelled(socket.recv_from(&mut buf)).await;
        match received {
            None => return,
            Some(Ok((n, from))) => match decode(buf.get(..n).unwrap_or_default()) {
                Ok((message, receipt)) => control.do_send(Received { from, message, receipt }),
                Err(e) => {
                    let from = from.to_string();
                    emit(
                        &log,
                        Event::DatagramInvalid,
                        &kv!("from" => from, "error" => e.to_string()),
                    );
                }
            },
            // Caused by an earlier send to a machine without a listener.
            Some(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {}
            Some(Err(e)) => {
                emit(&log, Event::DatagramInvalid, &kv!("error" => e.to_string()));
                tokio::task::yield_now().await;
            }
        }
    }
}

// Decodes a message and the receipt that may follow it.
fn decode(bytes: &[u8]) -> postcard::Result<(Message, Option<Receipt>)> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    let receipt = (!rest.is_empty()).then(|| postcard::from_bytes(rest)).transpose()?;
    Ok((message, receipt))
}

/// Sends a message. It is dropped if the socket buffer is full; the next digest makes up for it.
pub fn send(socket: &UdpSocket, to: SocketAddr, message: &Message, log: &Logger) {
    send_bytes(socket, to, &encode(message), log);
}

/// Encodes a message, once for all of its recipients.
pub fn encode(message: &Message) -> Vec<u8> {
    #[expect(clippy::expect_used, reason = "a vector grows, and no type of a message fails")]
    postcard::to_stdvec(message).expect("postcard supports all types of a message")
}

/// Appends the receipt for one recipient to an encoded message. Hosts of an earlier release ignore
/// it.
pub fn append_receipt(message: Vec<u8>, receipt: &Receipt) -> Vec<u8> {
    #[expect(clippy::expect_used, reason = "a vector grows, and numbers do not fail")]
    postcard::to_extend(receipt, message).expect("postcard supports numbers")
}

/// Sends an encoded message, with the same loss as [`send`].
pub fn send_bytes(socket: &UdpSocket, to: SocketAddr, bytes: &[u8], log: &Logger) {
    if let Err(e) = socket.try_send_to(bytes, to) {
        let bytes = bytes.len();
        emit(
            log,
            Event::DatagramUnsent,
            &kv!("to" => to.to_string(), "bytes" => bytes, "error" => e.to_string()),
        );
    }
}
