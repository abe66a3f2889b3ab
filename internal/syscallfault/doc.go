// Package syscallfault injects faults into the system calls of a running process: calls that fail with an error, transfer
// fewer bytes than asked for, or are held up before or after they take effect. The process is traced with ptrace, so that
// it needs no preparation. It works for the process's owner on Linux, on amd64 and arm64.
package syscallfault
