//! The control thread and its messages.

pub mod messages;

pub use self::messages::Handle;
