// Package configstore stores the configurations of many initiators. A few servers replicate them with Raft. Clients read and
// write them over HTTP, and each initiator watches its own. Commands, flags, files and URLs call a server an agent and an
// initiator an instance. The platform does not use the configuration store.
//
// A write has taken effect once it is confirmed, which means that a majority of the servers has it in its log. An
// unconfirmed write may or may not take effect later. A read at the leader sees every write that this leader has confirmed.
// A newly elected leader may not have applied the last writes of its predecessor yet, so a read may miss them. Stale reads
// and Client.Watch may lag behind.
package configstore
