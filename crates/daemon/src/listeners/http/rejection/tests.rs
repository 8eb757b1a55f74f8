use super::*;

#[test]
fn each_error_has_its_status_and_one_line_of_text() {
    for (error, status, body) in [
        (RequestError::UnknownPath, 404, "no such path\n"),
        (RequestError::MissingTarget, 404, "no path\n"),
        (RequestError::AmbiguousLength, 400, "Transfer-Encoding beside Content-Length\n"),
        (RequestError::MalformedCustomer, 400, "the customer is malformed\n"),
        (RequestError::MalformedCorrelationId, 400, "X-Correlation-Id is missing or malformed\n"),
        (RequestError::MalformedHeader, 400, "malformed\n"),
        (RequestError::UnknownContract, 400, "X-Contract is missing or unknown\n"),
        (RequestError::MalformedTimeLeft, 400, "X-Time-Left is missing or malformed\n"),
        (RequestError::MalformedMetering, 400, "X-Metering is missing or malformed\n"),
        (RequestError::WrongMethod, 400, "the method does not fit the class\n"),
        (RequestError::UnexpectedBody, 400, "a GET carries no body\n"),
        (RequestError::MalformedIdempotencyKey, 400, "Idempotency-Key is missing or malformed\n"),
        (RequestError::BodyTooLarge, 413, "the body is too large\n"),
        (RequestError::UnreadableBody, 400, "the body cannot be read\n"),
        (RequestError::BodyTimeout, 408, "the body came too slowly\n"),
        (RequestError::OutOfMemory, 503, "too much is open\n"),
        (RequestError::TooManyOpenRequests, 503, "too many requests are open\n"),
        (RequestError::ShuttingDown, 503, "ending\n"),
        (RequestError::DuplicateId, 409, "a request with this id is open\n"),
    ] {
        assert_eq!((error.status().as_u16(), error.body()), (status, body));
        assert_eq!(format!("{error}\n"), body);
    }
}
