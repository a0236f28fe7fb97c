"""Distinct types for identifiers, which a type checker can tell apart."""

import typing

InstanceId = typing.NewType("InstanceId", str)
ZoneId = typing.NewType("ZoneId", str)
ClientId = typing.NewType("ClientId", str)
TargetId = typing.NewType("TargetId", str)
EntryName = typing.NewType("EntryName", str)
EditId = typing.NewType("EditId", str)
RequestId = typing.NewType("RequestId", str)
IdempotencyKey = typing.NewType("IdempotencyKey", str)
Nonce = typing.NewType("Nonce", str)
Offset = typing.NewType("Offset", int)
# Rises each time the log comes back from an older copy; 0 if it never did.
LogEpoch = typing.NewType("LogEpoch", int)
Fingerprint = typing.NewType("Fingerprint", str)
