// Package nvme implements a subset of NVMe over TCP on both sides of the initiator: Server is the controller that clients'
// hosts connect to, and Host connects to the targets as their host. Between the two, the dispatcher handles the commands like
// any other requests. Names follow the NVMe Base, NVM Command Set and TCP Transport specifications.
//
// A command outside the subset is completed with the error status that the specification defines for it. A PDU that violates
// the transport protocol is answered with a termination request, which ends the connection.
//
// Controller side: server.go accepts connections. controllerqueue.go implements a connection with its reader and writer.
// connect.go and controllerassociation.go bind a connection to a queue of an association. property.go, admin.go and
// identify.go serve the admin queue, iocommand.go and writedata.go the I/O queues. namespace.go maps reads and writes to the
// scheduler's requests.
//
// Host side: host.go opens I/O queues. targetassociation.go maintains the admin queue of each target. hostconn.go implements
// a connection, and targetqueue.go executes one command at a time on an I/O queue.
//
// Both sides use pdu.go, pdureader.go, command.go, status.go and errors.go.
package nvme
