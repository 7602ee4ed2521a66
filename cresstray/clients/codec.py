"""The clients' JSON-RPC 2.0 protocol, one message a line. Free of I/O.

The protocol's names are used only in this module. Elsewhere they are:

| protocol                       | here                                     |
| ------------------------------ | ---------------------------------------- |
| `id`                           | `request_id`                             |
| `method` (any but the two below) | `Query.class_name`, a request class    |
| `method: withdraw`             | `Cancellation`                           |
| `method: status`               | `Status`                                 |
| `req`                          | `name`, of a request on all connections  |
| `timeout`                      | `timeout_ms`                             |
| `owner`                        | `tenant`                                 |
| `opkey`                        | `idempotency_key`                        |
| `ms`                           | `estimated_work_ms`                      |
| `est_mb`                       | `memory_mb`                              |
| `data` (of a request)          | `statement`                              |
| `data` (of a result)           | `result`                                 |
| `at` (of a result)             | `position`, up to which a read has seen  |
| `pass` (of a result)           | the response to `Status`                 |
| `refused`, `holdoff`           | a rejection, `retry_after_ms`            |
| `failed`                       | a failed request                         |
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

PARSE_ERROR = -32700
INVALID_REQUEST = -32600
UNKNOWN_METHOD = -32601
INVALID_PARAMS = -32602
REJECTED = -32000
FAILED = -32001

_JSON_RPC_VERSION = "2.0"
_MAX_REQUEST_ID = 2**63 - 1
_NUMBER_LIMIT = 1e9  # exclusive upper bound of milliseconds and of megabytes
_UNDECODABLE = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class MalformedMessageError(Exception):
    """A message that cannot be accepted.

    Attributes:
        code: the JSON-RPC error code.
        text: what is wrong with the message.
        request_id: the id to respond under; None if none could be read.
    """

    def __init__(self, code: int, text: str, request_id: int | None = None) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.request_id = request_id


class Query(
    msgspec.Struct,
    rename={
        "name": "req",
        "timeout_ms": "timeout",
        "tenant": "owner",
        "idempotency_key": "opkey",
        "estimated_work_ms": "ms",
        "memory_mb": "est_mb",
        "statement": "data",
    },
):
    """A request. `class_name` is the method; requests with one `idempotency_key` are the same operation."""

    # The patterns end in \Z, as `$` also matches before a trailing line feed, which would reach the engine.
    name: Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{16}\Z")]
    timeout_ms: Annotated[float, msgspec.Meta(gt=0, lt=_NUMBER_LIMIT)]
    statement: Annotated[bytes, msgspec.Meta(min_length=1)]
    tenant: str = ""
    # Engines receive the key in a comma-separated list of fields, so it must not contain a comma.
    idempotency_key: Annotated[str, msgspec.Meta(pattern=r"\A[0-9A-Za-z_.:-]{0,128}\Z")] = ""
    estimated_work_ms: Annotated[float, msgspec.Meta(ge=0, lt=_NUMBER_LIMIT)] = 0.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0, lt=_NUMBER_LIMIT)] = 0.0
    class_name: str = ""


class Cancellation(msgspec.Struct, rename={"name": "req"}):
    """Cancels the request with this id on the same connection, or else the one with this name."""

    id: int | None = None
    name: str | None = None


class Status(msgspec.Struct):
    """A check by the client whether the gateway responds."""


Message = Query | Cancellation | Status


class _Envelope(msgspec.Struct):
    jsonrpc: str
    method: str
    id: Annotated[int, msgspec.Meta(ge=1, le=_MAX_REQUEST_ID)] | None = None
    params: msgspec.Raw = msgspec.Raw(b"{}")


class _Id(msgspec.Struct):
    id: Any = None


_envelope_decoder = msgspec.json.Decoder(_Envelope)
_id_decoder = msgspec.json.Decoder(_Id)
_cancellation_decoder = msgspec.json.Decoder(Cancellation)
_query_decoder = msgspec.json.Decoder(Query)
_encode = msgspec.json.Encoder().encode


def decode(line: bytes, request_classes: frozenset[str]) -> tuple[int | None, Message]:
    """Decodes one line to its id and its message. A Query always has an id.

    Raises:
        MalformedMessageError: the line is malformed; `code` is the JSON-RPC error code.
    """
    try:
        envelope = _envelope_decoder.decode(line)
    except msgspec.ValidationError as error:
        raise MalformedMessageError(INVALID_REQUEST, str(error), decode_request_id(line)) from None
    except _UNDECODABLE as error:
        raise MalformedMessageError(PARSE_ERROR, str(error)) from None
    if envelope.jsonrpc != _JSON_RPC_VERSION:
        raise MalformedMessageError(INVALID_REQUEST, "the version must be 2.0", envelope.id)
    try:
        return envelope.id, _decode_params(envelope, request_classes)
    except _UNDECODABLE as error:
        raise MalformedMessageError(INVALID_PARAMS, str(error), envelope.id) from None


def _decode_params(envelope: _Envelope, request_classes: frozenset[str]) -> Message:
    method = envelope.method
    if method in request_classes:
        if envelope.id is None:
            raise MalformedMessageError(INVALID_REQUEST, "a request needs an id")
        query = _query_decoder.decode(envelope.params)
        query.class_name = method
        return query
    if method == "withdraw":
        return _cancellation_decoder.decode(envelope.params)
    if method == "status":
        return Status()
    raise MalformedMessageError(UNKNOWN_METHOD, "no such method", envelope.id)


def decode_request_id(line: bytes) -> int | None:
    """Decodes only the id of a line; None if it has none that a response can be sent under."""
    try:
        request_id = _id_decoder.decode(line).id
    except _UNDECODABLE:
        return None
    return request_id if type(request_id) is int and request_id >= 1 else None


def encode_success(request_id: int, result: bytes, position: str | None = None) -> bytes:
    """Encodes a result; `position` is up to where a read has seen, for the client to send back."""
    content = {"data": result} if position is None else {"data": result, "at": position}
    return _encode({"jsonrpc": "2.0", "id": request_id, "result": content}) + b"\n"


def encode_status(request_id: int) -> bytes:
    """Encodes the response to a Status."""
    return _encode({"jsonrpc": "2.0", "id": request_id, "result": {"pass": True}}) + b"\n"


def encode_rejection(request_id: int, retry_after_ms: int) -> bytes:
    """Encodes a rejection; with `retry_after_ms` 0 the client is not told when to retry."""
    error: dict[str, object] = {"code": REJECTED, "message": "refused"}
    if retry_after_ms:
        error["data"] = {"holdoff": retry_after_ms}
    return _encode({"jsonrpc": "2.0", "id": request_id, "error": error}) + b"\n"


def encode_error(request_id: int | None, code: int, text: str) -> bytes:
    """Encodes an error; `request_id` is None for a message whose id could not be read."""
    return _encode({"jsonrpc": "2.0", "id": request_id, "error": {"code": code, "message": text}}) + b"\n"
