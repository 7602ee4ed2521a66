"""Errors that stop a gateway from starting, or that make a reload have no effect."""

from __future__ import annotations


class GatewayError(ValueError):
    """Base class of the gateway's errors; the text is one line for operators."""


class AddressError(GatewayError):
    """The address cannot be listened on."""


class ConfigurationError(GatewayError):
    """The configuration cannot be used."""
