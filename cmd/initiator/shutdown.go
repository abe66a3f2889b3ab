package main

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"dapplegate/internal/dispatcher"
)

// The wait for the servers' graceful shutdown ends shutdownMargin after the longest deadline or, if that is longer, after
// minShutdownTimeout. Both bound how long an open connection can hold up the end of the process. They don't bound requests:
// these have their responses by the FinalAnswerBy of dispatcher.ShutdownSchedule, since SIGKILL may come before this wait
// ends.
const (
	minShutdownTimeout = 3 * time.Second
	shutdownMargin     = 600 * time.Millisecond
)

// errSuperseded is the cause that stops an initiator whose successor has taken over its addresses. The process goes on, so
// the dispatcher gets no deadline for its open requests until the process is to end. The servers still shorten the timeouts
// of requests that come late in the shutdown.
var errSuperseded = errors.New("a successor serves")

// shutdownReason says in the log why an initiator shuts down.
type shutdownReason string

const (
	reasonSIGTERM      shutdownReason = "SIGTERM" // or SIGINT
	reasonSuperseded   shutdownReason = "SUPERSEDED"
	reasonServerFailed shutdownReason = "SERVER_FAILED"
)

// shutdown ends the servers gracefully: accepted requests get their responses first. While a superseded initiator shuts down,
// terminated is closed when the process is to end.
func (in *initiator) shutdown(reason shutdownReason, terminated <-chan struct{}) error {
	in.log.Info("shutting down", slog.String("reason", string(reason)), slog.Int("open_calls", in.dispatcher.OpenCalls()))
	maxDeadline := in.config.MaxDeadline()
	if reason != reasonSuperseded {
		in.limitOpenCalls()
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(maxDeadline, minShutdownTimeout)+shutdownMargin)
	defer cancel()
	ended := make(chan error, len(in.servers))
	for _, server := range in.servers {
		go func() { ended <- server.Shutdown(ctx) }()
	}
	var err error
	for left := len(in.servers); left > 0; {
		select {
		case endError := <-ended:
			err = errors.Join(err, endError)
			left--
		case <-terminated:
			in.limitOpenCalls()
			terminated = nil
		}
	}
	in.log.Info("shut down", slog.Int("open_calls", in.dispatcher.OpenCalls()))
	return err
}

// limitOpenCalls has all open calls answered before SIGKILL may come, counted from now.
func (in *initiator) limitOpenCalls() {
	schedule := dispatcher.NewShutdownSchedule(in.config.MaxDeadline())
	in.dispatcher.Shutdown(time.Now().Add(schedule.FinalAnswerBy))
}
