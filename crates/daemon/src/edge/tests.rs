mod fake;
mod http;
mod overhead;
mod plain;
mod stopping;
mod streams;
