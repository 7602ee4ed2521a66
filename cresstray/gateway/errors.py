"""Errors of the gateway process that end its start or leave a reload without effect."""

from __future__ import annotations


class GatewayError(ValueError):
    """Base class; the text is one line for operators."""


class AddressError(GatewayError):
    """The address cannot be listened on."""


class ConfigurationError(GatewayError):
    """The configuration cannot be used."""
