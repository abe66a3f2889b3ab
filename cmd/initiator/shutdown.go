package main

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"dapplegate/internal/dispatcher"
)

// The servers' graceful shutdown is bounded by the longest deadline, or minShutdownTimeout if that is longer, plus
// shutdownMargin. The bound limits how long an open connection can delay the end of the process. It is not a bound for
// requests: SIGKILL may come earlier, so all requests have their responses by FinalAnswerBy of dispatcher.ShutdownSchedule.
const (
	minShutdownTimeout = 3 * time.Second
	shutdownMargin     = 600 * time.Millisecond
)

// errSuperseded is the cancellation cause for an initiator whose successor has taken over its addresses. The process
// continues, so the dispatcher gets no deadline for its open requests until the process is asked to terminate. The servers
// still shorten the timeouts of requests that arrive late in the shutdown.
var errSuperseded = errors.New("superseded by a successor")

// shutdownReason is the logged reason for a shutdown.
type shutdownReason string

const (
	reasonSIGTERM      shutdownReason = "SIGTERM" // or SIGINT
	reasonSuperseded   shutdownReason = "SUPERSEDED"
	reasonServerFailed shutdownReason = "SERVER_FAILED"
)

// shutdown shuts the servers down gracefully, so that accepted requests get their responses first. For a superseded
// initiator, terminated is closed when the process is asked to terminate; otherwise it is nil.
func (in *initiator) shutdown(reason shutdownReason, terminated <-chan struct{}) error {
	in.log.Info("shutting down", slog.String("reason", string(reason)), slog.Int("open_calls", in.dispatcher.OpenCalls()))
	maxDeadline := in.config.MaxDeadline()
	if reason != reasonSuperseded {
		in.limitOpenCalls()
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(maxDeadline, minShutdownTimeout)+shutdownMargin)
	defer cancel()
	results := make(chan error, len(in.servers))
	for _, server := range in.servers {
		go func() { results <- server.Shutdown(ctx) }()
	}
	var err error
	for remaining := len(in.servers); remaining > 0; {
		select {
		case shutdownErr := <-results:
			err = errors.Join(err, shutdownErr)
			remaining--
		case <-terminated:
			in.limitOpenCalls()
			terminated = nil
		}
	}
	in.log.Info("shut down", slog.Int("open_calls", in.dispatcher.OpenCalls()))
	return err
}

// limitOpenCalls sets the dispatcher's deadline for all open calls, so that they are answered before SIGKILL may come. The
// schedule is counted from now.
func (in *initiator) limitOpenCalls() {
	schedule := dispatcher.NewShutdownSchedule(in.config.MaxDeadline())
	in.dispatcher.Shutdown(time.Now().Add(schedule.FinalAnswerBy))
}
