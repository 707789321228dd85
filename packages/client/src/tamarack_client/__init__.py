"""Clients of a tamarackturn fleet, for callers' and operators' programs."""

from tamarack_client.admin import AdminClient, AdminError
from tamarack_client.answer import Answer, OutcomeUnknownError, RefusedError
from tamarack_client.client import Client

__all__ = [
    "AdminClient",
    "AdminError",
    "Answer",
    "Client",
    "OutcomeUnknownError",
    "RefusedError",
]
