// Package faulttest holds the fault tests. They run real initiator processes on loopback against stand-ins for clients, targets
// and discovery, inject faults into all of them, and judge what became of every request.
package faulttest
