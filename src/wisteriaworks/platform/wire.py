"""Functions of the adapter that the programs use."""

from wisteriaworks.platform.config_format import read_configuration
from wisteriaworks.platform.headers import (
    READINESS_PATH,
    ResponseFormat,
    encode_parts,
    encode_request,
    encode_retry_after,
    read_key,
    read_request,
)
from wisteriaworks.platform.server_list import make_list_path, read_list_page

response_format = ResponseFormat()

__all__ = [
    "READINESS_PATH",
    "encode_parts",
    "encode_request",
    "encode_retry_after",
    "make_list_path",
    "read_configuration",
    "read_key",
    "read_list_page",
    "read_request",
    "response_format",
]
