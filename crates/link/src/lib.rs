//! Messaging between the fleet's processes over HTTP/2 with MessagePack bodies.
//!
//! A *call* sends one message and gets one in return. An *exchange* is a bidirectional stream: one HTTP request whose request
//! and response bodies are streams of length-delimited frames. The client proves with each request that it knows the
//! cluster key. [`Traffic`] counts messages and bytes.

mod auth;
mod body;
mod buffers;
mod byte_budget;
mod client;
mod codec;
mod counted;
mod drain;
mod frames;
mod inbound;
mod response_head;
mod server;
mod traffic;

pub use auth::ClusterKey;
pub use body::{BodyError, FREE_BODY_BYTES, SHORT_BODY_BYTES, read_body, read_call};
pub use buffers::{Buffers, listen, max_descriptors};
pub use byte_budget::{ByteBudget, HeldBudget};
pub use client::{CallError, Client, Exchange};
pub use codec::{CodecError, decode, encode};
pub use drain::{Drain, DrainGuard, DrainStream, MAX_PENDING, accept_pending, close_listener};
pub use frames::{Closed, FrameError, FrameReader, FrameSender, frame_body};
pub use inbound::{
    BodyGuard, HeldBytes, Inbound, InboundLimits, NoRoom, OpenConnection, Peer, RequestGuard,
    TrackedBody,
};
pub use response_head::{BodyEnd, InvalidHead};
pub use server::{Limits, Server, ServerHandle, serve_call, serve_exchange};
pub use traffic::{CounterKind, Direction, MessageClass, Traffic};
