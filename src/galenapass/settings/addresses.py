"""Parse addresses that consist of an IP address and a port; host names are refused."""

import re
from dataclasses import dataclass
from ipaddress import IPv6Address, ip_address

from result import Err, Ok, Result

__all__ = [
    "Address",
    "parse_address",
    "parse_ipv4_address",
    "parse_listen_address",
    "parse_target_address",
]

MAX_PORT = 65_535

_ADDRESS = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[0-9.]+):([0-9]{1,5})")


@dataclass(slots=True, frozen=True)
class Address:
    """IP address and port."""

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


def parse_listen_address(text: str) -> Result[Address, str]:
    """Parse an address to listen on; port 0 selects a free port."""
    address = _parse_ip_and_port(text)
    return Ok(address) if address else Err("IP:PORT such as `127.0.0.1:8080`")


def parse_address(text: str) -> Result[Address, str]:
    """Parse an address to connect to; port 0, wildcard and multicast are refused."""
    address = _parse_ip_and_port(text)
    if address is None or not address.port or not _is_reachable(address.ip):
        return Err("IP:PORT of one host, such as `127.0.0.1:8080` or `[::1]:8080`")
    return Ok(address)


def parse_ipv4_address(text: str) -> Result[Address, str]:
    """Parse an IPv4 address to connect to, as ``parse_address``."""
    return parse_address(text).and_then(
        lambda address: Err("an IPv4 address") if ":" in address.ip else Ok(address)
    )


def parse_target_address(text: str) -> Result[str, str]:
    """Parse an address to connect to and return its canonical text."""
    return parse_address(text).map(str)


def _parse_ip_and_port(text: str) -> Address | None:
    match = _ADDRESS.fullmatch(text)
    if not match or int(match[2]) > MAX_PORT:
        return None
    try:
        ip = ip_address(match[1].strip("[]"))
    except ValueError:
        return None
    if isinstance(ip, IPv6Address) != match[1].startswith("["):
        return None
    return Address(str(ip), int(match[2]))


def _is_reachable(ip: str) -> bool:
    number = ip_address(ip)
    return not number.is_unspecified and not number.is_multicast
