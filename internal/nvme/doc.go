// Package nvme implements a subset of NVMe over TCP on both sides of the initiator: Server is the controller that clients'
// hosts connect to, Host is the host of the targets. Between them the dispatcher schedules the commands like any other
// requests. Names are those of the NVMe Base, NVM Command Set and TCP Transport specifications.
//
// A command outside the subset is completed with the status that the specification has for it. A PDU that violates the
// transport's rules is answered with a termination request, which ends the connection.
//
// The controller side: server.go accepts connections, controllerqueue.go is a connection with its reader and writer, connect.go
// and controllerassociation.go make it a queue of an association, property.go, admin.go and identify.go serve the admin queue,
// iocommand.go and writedata.go the I/O queues.
//
// The host side: host.go opens I/O queues, targetassociation.go keeps the admin queue of each target, hostconn.go is a
// connection, targetqueue.go carries one command.
//
// Both use pdu.go, pdureader.go, command.go and status.go.
package nvme
