"""Which messages travel between which processes."""

from __future__ import annotations

from catkinpin.adapters import replicas
from catkinpin.core import changes, decisions, messages

ToReplica = (
    messages.Hello
    | messages.Ping
    | messages.Begin
    | messages.Finish
    | messages.GetProgram
    | messages.EndProgram
    | decisions.Explain
    | messages.ReleaseDone
    | messages.Reports
    | messages.CacheEvents
    | changes.FromProcess
    | replicas.ReplicaMessage
)
ToEntry = (
    messages.Ping
    | messages.GroupLeader
    | messages.Granted
    | messages.Finished
    | messages.Refused
    | messages.NotLeader
    | messages.ProgramInfo
    | decisions.Explained
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
