//! Reads the bodies of callers' requests.

use std::time;

use rocket::data;
use tokio::io::AsyncReadExt as _;

use crate::http::head;
use crate::memory;
use crate::query;

/// Longest time to read a complete body.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Size of each read.
const READ_SIZE: usize = 8 << 10;

/// Reads a body within [`TIMEOUT`]. Without that limit, a caller that sends its body slowly, or
/// whose connection went silent, would hold what it has sent forever, and a planned stop would
/// wait for it.
///
/// # Errors
/// The refusal to send to the caller.
pub(super) async fn read(
    data: rocket::Data<'_>,
    len: Option<usize>,
    context: &head::Context,
) -> Result<bytes::Bytes, query::Refusal> {
    let reading = tokio::time::timeout(TIMEOUT, read_all(data, len, context));
    reading.await.map_err(|_| {
        bad_request(format!(
            "body: incomplete after {} s; send it without pauses",
            TIMEOUT.as_secs()
        ))
    })?
}

async fn read_all(
    data: rocket::Data<'_>,
    len: Option<usize>,
    context: &head::Context,
) -> Result<bytes::Bytes, query::Refusal> {
    let limit = context.limits.body.0;
    let max_len = usize::try_from(limit).unwrap_or(usize::MAX);
    let size = match len {
        Some(len) if len <= max_len => memory::Size::Known(len),
        Some(_) => return Err(too_large(limit)),
        None => memory::Size::AtMost(max_len),
    };
    let mut stream = data.open(data::ByteUnit::from(limit + 1));
    let mut buffer = memory::Buffer::new(&context.budget);
    let mut piece = vec![0; READ_SIZE];
    loop {
        let read = stream.read(&mut piece).await;
        let count = read.map_err(|error| bad_request(format!("body: can't be read: {error}")))?;
        if count == 0 {
            return Ok(buffer.freeze());
        }
        if buffer.len() + count > max_len {
            return Err(too_large(limit));
        }
        let appended = buffer.append(&piece[..count], size);
        appended.map_err(|_| head::overloaded("this VM has no memory left for bodies"))?;
    }
}

fn too_large(limit: u64) -> query::Refusal {
    let message = format!("body: more than {limit} bytes; send less");
    query::Refusal::not_run(query::Code::TooLarge, message)
}

fn bad_request(message: String) -> query::Refusal {
    query::Refusal::not_run(query::Code::BadRequest, message)
}
