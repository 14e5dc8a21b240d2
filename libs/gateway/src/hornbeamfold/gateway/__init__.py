"""Decisions on the calls of clients about batch jobs."""

from hornbeamfold.gateway.access import Access, authorise
from hornbeamfold.gateway.jobs import JobService
from hornbeamfold.gateway.readiness import not_ready_reason

__all__ = ["Access", "JobService", "authorise", "not_ready_reason"]
