//! Stand-ins and helpers of the second independent review: servers, discovery, the counter, clients, and the start of
//! limiters as separate processes. Standard library only; everything listens on 127.0.0.1.

pub mod authorizer;
pub mod case;
pub mod client;
pub mod counter;
pub mod discovery;
pub mod http;
pub mod installation;
pub mod inventory;
pub mod limiter;
pub mod node;
pub mod record;
