use yuccawing_core::fleet::{digest::Message, receipt::Receipt};

use super::{append_receipt, decode, encode};

const RECEIPT: Receipt = Receipt { incarnation: 1_796_618_903_433, sequence: 700, held_ms: 95 };

fn message() -> Message {
    Message::OriginQuery(0x5eed)
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against ages that nothing bounds because the receipt does not reach the receiver.
    a_receipt_follows_its_message: {
        let bytes = append_receipt(encode(&message()), &RECEIPT);
        assert_eq!(decode(&bytes).unwrap(), (message(), Some(RECEIPT)));
    }
    // Guards against hosts of an earlier release that drop all messages of this one while both run.
    an_earlier_release_ignores_the_receipt: {
        let bytes = append_receipt(encode(&message()), &RECEIPT);
        assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message());
    }
    // Guards against messages of an earlier release that are dropped while both run.
    a_message_without_a_receipt_is_decoded: {
        assert_eq!(decode(&encode(&message())).unwrap(), (message(), None));
    }
    // Guards against a message whose age is taken for unbounded, or bounded wrongly, because its receipt
    // was cut.
    a_cut_receipt_is_an_error: {
        let bytes = append_receipt(encode(&message()), &RECEIPT);
        let len = encode(&message()).len();
        for end in len + 1..bytes.len() {
            assert!(decode(&bytes[..end]).is_err(), "{end} bytes");
        }
    }
}
