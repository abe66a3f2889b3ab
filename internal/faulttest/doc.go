// Package faulttest contains the fault injection tests. They run real initiator processes on the loopback interface with
// fake clients, targets and discovery, inject faults into all of them, and check the outcome of every request against the
// rules of the protocol.
package faulttest
