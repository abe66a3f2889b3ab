package faulttest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"syscall"

	"dapplegate/internal/syscallfault"
)

// syscallFaults injects faults into the system calls of an initiator.
type syscallFaults interface {
	// start starts the program, sets p.pid, and sees to it that p.exited is closed when the program has ended.
	start(p *Process, program string, arguments, environment []string) error
}

// faultFunc traces the initiator in the test process, so that the function can use the state of a test.
type faultFunc syscallfault.Decide

func (decide faultFunc) start(p *Process, program string, arguments, environment []string) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	traced, err := syscallfault.Start(program, arguments, environment, writer, syscallfault.Decide(decide))
	_ = writer.Close() // the process has its own
	if err != nil {
		return errors.Join(err, reader.Close())
	}
	p.pid = traced.PID()
	go func() {
		_, _ = io.Copy(&p.log, reader) // ends with the process
		<-traced.Exited()
		p.err = errors.Join(traced.Err(), reader.Close())
		close(p.exited)
	}()
	return nil
}

// randomFaults traces the initiator in a process of its own, with the random faults of soakFaults. An initiator continues
// after each system call only once its tracer has run, which may take long in a busy test process.
type randomFaults struct {
	seed, stream uint64
}

// randomFaultsVariable makes the test binary trace the program that its arguments name. It holds seed and stream.
const randomFaultsVariable = "FAULTTEST_RANDOM_FAULTS"

func (f randomFaults) start(p *Process, program string, arguments, environment []string) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	defer func() { _ = reader.Close() }() // the process ID has been read
	cmd := exec.Command(os.Args[0], append([]string{program}, arguments...)...)
	cmd.Env = slices.Concat(environment, []string{fmt.Sprintf("%s=%d %d", randomFaultsVariable, f.seed, f.stream)})
	cmd.Stderr = &p.log
	cmd.ExtraFiles = []*os.File{writer}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = cmd.Start()
	_ = writer.Close() // the command has its own
	if err != nil {
		return err
	}
	if _, err := fmt.Fscanln(bufio.NewReader(reader), &p.pid); err != nil {
		return errors.Join(fmt.Errorf("the tracer did not start the initiator: %w", err), cmd.Process.Kill(), cmd.Wait())
	}
	p.awaitExit(cmd)
	return nil
}

// traceWithRandomFaults runs the program that the arguments name, with random faults, and returns when it has ended. It writes
// the program's process ID to the first descriptor after standard error.
func traceWithRandomFaults(parameters string) error {
	var f randomFaults
	if _, err := fmt.Sscan(parameters, &f.seed, &f.stream); err != nil {
		return err
	}
	traced, err := syscallfault.Start(os.Args[1], os.Args[2:], os.Environ(), os.Stderr, soakFaults(newRand(f.seed, f.stream)))
	if err != nil {
		return err
	}
	const firstExtraFile = 3
	pid := os.NewFile(firstExtraFile, "process ID")
	if _, err := fmt.Fprintln(pid, traced.PID()); err != nil {
		return err
	}
	if err := pid.Close(); err != nil {
		return err
	}
	<-traced.Exited()
	return traced.Err()
}
