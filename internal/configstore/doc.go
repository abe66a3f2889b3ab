// Package configstore keeps the configurations of many initiators. A few servers replicate them by Raft; a client reads and
// writes them over HTTP, and an initiator follows its own. Commands, flags, files and URLs call a server an agent and an
// initiator an instance. It is off on the platform.
//
// A write has taken effect once it is confirmed: a majority of the servers has it in its log. An unconfirmed one may or may
// not take effect later. A read at the leader sees every write that this leader has confirmed. A leader that was elected a
// moment ago may not have applied the last writes of its predecessor yet, so that a read may miss them. A stale read, and
// Client.Follow, may lag behind.
package configstore
