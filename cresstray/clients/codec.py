"""JSON-RPC 2.0 as the clients speak it, one message a line. Knows no socket and decides nothing."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

PARSE_ERROR, INVALID_REQUEST, UNKNOWN_METHOD, INVALID_PARAMS = -32700, -32600, -32601, -32602
REJECTED, FAILED = -32000, -32001


class MalformedMessageError(Exception):
    """A message that can't be taken in; `number` is the id to answer under, if one could be read."""

    def __init__(self, code: int, text: str, number: int | None = None) -> None:
        super().__init__(text)
        self.code, self.text, self.number = code, text, number


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
    """What a client asks for; times in milliseconds. `tariff` is the method, `mark` tells repeats apart."""

    name: Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{16}\Z")]
    timeout_ms: Annotated[float, msgspec.Meta(gt=0, lt=1e9)]
    statement: Annotated[bytes, msgspec.Meta(min_length=1)]
    tenant: str = ""
    # Danger: `$` matches before a last line feed as well, and it would go on to the engine; so do `req`'s.
    # Danger: a mark goes into a list of fields; a comma in it would make another field of the rest.
    idempotency_key: Annotated[str, msgspec.Meta(pattern=r"\A[0-9A-Za-z_.:-]{0,128}\Z")] = ""
    estimated_work_ms: Annotated[float, msgspec.Meta(ge=0, lt=1e9)] = 0.0
    memory_mb: Annotated[float, msgspec.Meta(ge=0, lt=1e9)] = 0.0
    class_name: str = ""


class Cancellation(msgspec.Struct, rename={"name": "req"}):
    """The client no longer waits, for the request of this id on its connection or of this name."""

    id: int | None = None
    name: str | None = None


class Status(msgspec.Struct):
    pass


class _Envelope(msgspec.Struct):
    jsonrpc: str
    method: str
    id: Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)] | None = None
    params: msgspec.Raw = msgspec.Raw(b"{}")


class _Id(msgspec.Struct):
    id: Any = None


_envelope, _id = msgspec.json.Decoder(_Envelope), msgspec.json.Decoder(_Id)
_withdrawal, _query = msgspec.json.Decoder(Cancellation), msgspec.json.Decoder(Query)
_encode = msgspec.json.Encoder().encode


def decode(line: bytes, request_classes: frozenset[str]) -> tuple[int | None, Query | Cancellation | Status]:
    """One line as its id and a typed value, or MalformedError with the standard code."""
    try:
        envelope = _envelope.decode(line)
    except msgspec.ValidationError as trouble:
        raise MalformedMessageError(INVALID_REQUEST, str(trouble), _id_of(line)) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise MalformedMessageError(PARSE_ERROR, str(trouble)) from None
    number, method = envelope.id, envelope.method
    if envelope.jsonrpc != "2.0":
        raise MalformedMessageError(INVALID_REQUEST, "the version must be 2.0", number)
    try:
        if method in request_classes:
            if number is None:
                raise MalformedMessageError(INVALID_REQUEST, "a request needs an id")
            query = _query.decode(envelope.params)
            query.class_name = method
            return number, query
        if method == "withdraw":
            return number, _withdrawal.decode(envelope.params)
        if method == "status":
            return number, Status()
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as trouble:
        raise MalformedMessageError(INVALID_PARAMS, str(trouble), number) from None
    raise MalformedMessageError(UNKNOWN_METHOD, "no such method", number)


def _id_of(line: bytes) -> int | None:
    try:
        number = _id.decode(line).id
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return number if type(number) is int and number >= 1 else None


def encode_success(number: int, result: bytes, at: str | None = None) -> bytes:
    """`at`: how far a hinted read has seen, for the client to hand back."""
    told = {"data": result} if at is None else {"data": result, "at": at}
    return _encode({"jsonrpc": "2.0", "id": number, "result": told}) + b"\n"


def encode_status(number: int) -> bytes:
    return _encode({"jsonrpc": "2.0", "id": number, "result": {"pass": True}}) + b"\n"


def encode_rejection(number: int, come_back: int) -> bytes:
    """`come_back` in milliseconds; 0 tells nothing of it."""
    error: dict = {"code": REJECTED, "message": "refused"}
    if come_back:
        error["data"] = {"holdoff": come_back}
    return _encode({"jsonrpc": "2.0", "id": number, "error": error}) + b"\n"


def encode_error(number: int | None, code: int, text: str) -> bytes:
    return _encode({"jsonrpc": "2.0", "id": number, "error": {"code": code, "message": text}}) + b"\n"
