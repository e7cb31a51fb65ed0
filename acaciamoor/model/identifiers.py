"""Identifiers, as distinct types for the type checker."""

import typing

DataCentre = typing.NewType('DataCentre', str)
HostId = typing.NewType('HostId', str)
UpstreamId = typing.NewType('UpstreamId', str)
# Unsigned 32-bit number, assigned when a service is created and never reused,
# so that packets of a deleted service cannot match a later service.
ServiceId = typing.NewType('ServiceId', int)
