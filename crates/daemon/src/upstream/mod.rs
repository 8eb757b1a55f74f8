//! Communication with the servers: sockets, HTTP/1.1 connections, the connection pool, attempts and health checks.

mod answer;
pub mod attempt;
pub mod connection;
pub mod connection_counts;
pub mod headers;
mod health_check;
mod load_report;
pub mod servers;
pub mod socket;
