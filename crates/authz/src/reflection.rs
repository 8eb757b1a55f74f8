//! Server reflection: describes the services of the limiter to tools that do not have its `.proto` files.

use crate::messages::grpc::reflection::v1::server_reflection_request::MessageRequest;
use crate::messages::grpc::reflection::v1::server_reflection_response::MessageResponse;
use crate::messages::grpc::reflection::v1::{
    ErrorResponse, ExtensionNumberResponse, FileDescriptorResponse, ListServiceResponse,
    ServerReflectionRequest, ServerReflectionResponse, ServiceResponse,
};
use crate::status::Code;
use crate::SERVICES;
use prost::Message;
use prost_types::{DescriptorProto, FileDescriptorProto, FileDescriptorSet};

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/descriptors.bin"));

/// The response to one request of a reflection stream.
pub fn reflect(request: ServerReflectionRequest) -> ServerReflectionResponse {
    // Decoded for each request rather than kept in memory: tools send only a few requests in a session.
    let files = FileDescriptorSet::decode(DESCRIPTORS).unwrap_or_default().file;
    let not_found = |what: String| {
        let error = ErrorResponse { error_code: Code::NotFound as i32, error_message: what };
        MessageResponse::ErrorResponse(error)
    };
    let found = |file: Option<&FileDescriptorProto>, name: &str| match file {
        Some(file) => MessageResponse::FileDescriptorResponse(FileDescriptorResponse {
            file_descriptor_proto: with_imports(&files, file),
        }),
        None => not_found(format!("{name:?} is not known")),
    };
    let response = match &request.message_request {
        Some(MessageRequest::ListServices(_)) => {
            let service = SERVICES.iter().map(|name| ServiceResponse { name: (*name).to_string() });
            MessageResponse::ListServicesResponse(ListServiceResponse { service: service.collect() })
        }
        Some(MessageRequest::FileByFilename(name)) => found(files.iter().find(|f| f.name() == name), name),
        Some(MessageRequest::FileContainingSymbol(name)) => {
            found(files.iter().find(|f| declares(f, name)), name)
        }
        Some(MessageRequest::FileContainingExtension(extension)) => {
            not_found(format!("{:?} has no extensions", extension.containing_type))
        }
        Some(MessageRequest::AllExtensionNumbersOfType(name)) if files.iter().any(|f| declares(f, name)) => {
            MessageResponse::AllExtensionNumbersResponse(ExtensionNumberResponse {
                base_type_name: name.clone(),
                extension_number: Vec::new(),
            })
        }
        Some(MessageRequest::AllExtensionNumbersOfType(name)) => not_found(format!("{name:?} is not known")),
        None => MessageResponse::ErrorResponse(ErrorResponse {
            error_code: Code::InvalidArgument as i32,
            error_message: "the request asks for nothing".into(),
        }),
    };
    ServerReflectionResponse {
        valid_host: request.host.clone(),
        original_request: Some(request),
        message_response: Some(response),
    }
}

/// A file and its imports, direct and indirect, so that the client needs no further request.
fn with_imports(files: &[FileDescriptorProto], file: &FileDescriptorProto) -> Vec<Vec<u8>> {
    let mut closure = vec![file];
    let mut n = 0;
    while let Some(file) = closure.get(n) {
        for name in &file.dependency {
            let import = files.iter().find(|f| f.name() == name);
            closure.extend(import.filter(|f| !closure.iter().any(|w| w.name() == f.name())));
        }
        n += 1;
    }
    closure.into_iter().map(Message::encode_to_vec).collect()
}

/// Whether a file declares a symbol of this full name: a service, a method, a message, a field or an enumeration.
fn declares(file: &FileDescriptorProto, name: &str) -> bool {
    let package = file.package();
    let Some(name) = name.strip_prefix(package).and_then(|rest| rest.strip_prefix('.')) else { return false };
    let (first, rest) = name.split_once('.').map_or((name, None), |(first, rest)| (first, Some(rest)));
    let service = file.service.iter().find(|s| s.name() == first);
    let method = |rest: &str| service.is_some_and(|s| s.method.iter().any(|m| m.name() == rest));
    service.is_some() && rest.is_none_or(method)
        || file.enum_type.iter().any(|e| e.name() == first) && rest.is_none()
        || file.message_type.iter().any(|m| message_declares(m, name))
}

/// Whether a message is or contains a symbol; `name` is relative to the parent of the message.
fn message_declares(message: &DescriptorProto, name: &str) -> bool {
    let Some(rest) = name.strip_prefix(message.name()) else { return false };
    let Some(rest) = rest.strip_prefix('.') else { return rest.is_empty() };
    message.field.iter().any(|f| f.name() == rest)
        || message.enum_type.iter().any(|e| e.name() == rest)
        || message.nested_type.iter().any(|m| message_declares(m, rest))
}
