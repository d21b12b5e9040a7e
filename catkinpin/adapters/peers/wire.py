"""Unions of the messages that each kind of process may receive."""

from __future__ import annotations

from catkinpin.adapters.replica import transport
from catkinpin.core import messages
from catkinpin.core.operations import changes
from catkinpin.core.programs import explanations

ToReplica = (
    messages.Hello
    | messages.Ping
    | messages.Begin
    | messages.Finish
    | messages.GetProgram
    | messages.EndProgram
    | explanations.Explain
    | messages.ReleaseDone
    | messages.Reports
    | messages.CacheEvents
    | changes.FromProcess
    | transport.ReplicaMessage
)
ToEntry = (
    messages.Ping
    | messages.GroupLeader
    | messages.Granted
    | messages.Finished
    | messages.Refused
    | messages.NotLeader
    | messages.ProgramInfo
    | explanations.Explained
    | messages.Recall
    | messages.Recover
    | messages.OrderRelease
    | changes.ToProcess
)
BetweenEntries = (
    messages.Hello
    | messages.Ping
    | messages.Dispatch
    | messages.NeedWhole
    | messages.Chunk
    | messages.Dispatched
)
