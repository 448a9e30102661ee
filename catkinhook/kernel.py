"""Microkernel: registers services by name, starts them in order and closes them in reverse."""

import logging
from typing import Protocol

from catkinhook.errors import StepError

_log = logging.getLogger(__name__)


class Service(Protocol):
    """Interface of the services that the kernel manages."""

    def start(self) -> None:
        """Acquire resources and start to work."""

    def close(self) -> None:
        """Release all resources; called at most once."""


class Kernel:
    """Registry that owns the services of one process."""

    def __init__(self) -> None:
        self._service_by_name: dict[str, Service] = {}
        self._started: list[str] = []

    def register(self, name: str, service: Service) -> None:
        """Register a service; services start in the order of their registration.

        :raises StepError: if the name is already registered.
        """
        if name in self._service_by_name:
            raise StepError("kernel", name, f"service {name!r} is registered twice")
        self._service_by_name[name] = service

    def find(self, name: str) -> Service:
        """Return the service registered under a name.

        :raises StepError: if no service has that name.
        """
        if name not in self._service_by_name:
            raise StepError("kernel", name, f"no service is registered as {name!r}")
        return self._service_by_name[name]

    def start(self) -> None:
        """Start all services; if one fails, close the started ones and re-raise its exception."""
        for name, service in self._service_by_name.items():
            try:
                service.start()
            except Exception:
                _log.error("service failed to start", extra={"service": name})
                self.close()
                raise
            self._started.append(name)

    def close(self) -> None:
        """Close the started services in reverse order; a failure doesn't affect the others."""
        while self._started:
            name = self._started.pop()
            try:
                self._service_by_name[name].close()
            except Exception:
                _log.exception("service failed to close", extra={"service": name})
