package main

import (
	"context"
	"log/slog"
	"sync"

	"dapplegate/internal/config"
	"dapplegate/internal/configstore"
)

// follow runs the initiator named by PROXY_NAME with its configuration from the store, until ctx is done or the initiator
// fails. Each new version that Client.Watch reports is validated, then served by a successor, which may listen on the same
// addresses. Once the successor is listening, its predecessor shuts down gracefully, so that no accepted request is lost. If
// a version cannot be started, the predecessor keeps running.
func follow(ctx context.Context, agents []string, getenv func(string) string, operatorFile string, log *slog.Logger) error {
	name := getenv(config.EnvName)
	if name == "" {
		return config.MissingField(config.EnvName)
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	entries := watchEntry(watchCtx, &configstore.Client{Addrs: agents}, name, log)

	f := &follower{operatorFile: operatorFile, log: log}
	defer f.shuttingDown.Wait()
	for {
		select {
		case <-ctx.Done():
			return f.waitForCurrent()
		case <-f.currentDone():
			return f.current.err
		case entry := <-entries:
			f.update(ctx, entry)
		}
	}
}

// watchEntry returns a channel that receives each version of the named initiator's configuration that Client.Watch reports,
// until ctx is done.
func watchEntry(ctx context.Context, client *configstore.Client, name string, log *slog.Logger) <-chan configstore.Entry {
	entries := make(chan configstore.Entry)
	go client.Watch(ctx, name, log, func(entry configstore.Entry) {
		select {
		case entries <- entry:
		case <-ctx.Done():
		}
	})
	return entries
}

// follower runs an initiator with the latest version of its configuration that could be started.
type follower struct {
	operatorFile string
	log          *slog.Logger
	current      *runningVersion // nil if no version has been started yet
	shuttingDown sync.WaitGroup  // predecessors that are shutting down gracefully
}

// update replaces the current version with the entry's. If the entry's cannot be started, the current version keeps running.
func (f *follower) update(ctx context.Context, entry configstore.Entry) {
	successor, err := startVersion(ctx, entry, f.operatorFile, f.log)
	if err != nil {
		f.log.Error(eventConfigRejected, slog.String("reason", reasonConfigNotServed),
			slog.Uint64("version", entry.Version), slog.Any("error", err))
		return
	}
	f.log.Info(eventConfigAccepted, slog.Uint64("version", entry.Version))
	if predecessor := f.current; predecessor != nil {
		predecessor.stop(errSuperseded)
		f.shuttingDown.Go(func() { <-predecessor.done })
	}
	f.current = successor
}

// currentDone returns a channel that is closed when the current version has ended. Without a current version the channel is
// nil, so that receiving from it blocks.
func (f *follower) currentDone() <-chan struct{} {
	if f.current == nil {
		return nil
	}
	return f.current.done
}

// waitForCurrent waits until the current version has ended and returns its error. Without a current version it returns nil.
func (f *follower) waitForCurrent() error {
	if f.current == nil {
		return nil
	}
	<-f.current.done
	return f.current.err
}

// runningVersion is an initiator running with one version of its configuration.
type runningVersion struct {
	stop context.CancelCauseFunc
	done chan struct{} // closed when the initiator has ended
	err  error         // the result of serve; valid once done is closed
}

// startVersion starts an initiator with the entry's configuration. It returns once the initiator is listening, or with the
// error that prevented that. The initiator runs until ctx is done or its stop function is called.
func startVersion(ctx context.Context, entry configstore.Entry, operatorFile string, log *slog.Logger) (*runningVersion, error) {
	cfg, err := parseStored(entry.Name, entry.Config)
	if err != nil {
		return nil, err
	}
	operator, err := readOperator(operatorFile, cfg)
	if err != nil {
		return nil, err
	}
	versionCtx, stop := context.WithCancelCause(ctx)
	running := &runningVersion{stop: stop, done: make(chan struct{})}
	listening := make(chan struct{})
	options := runOptions{
		shareAddresses: true,
		terminated:     ctx.Done(),
		onListening:    func() { close(listening) },
	}
	go func() {
		defer close(running.done)
		running.err = serve(versionCtx, cfg, operator, log, options)
	}()
	select {
	case <-listening:
		return running, nil
	case <-running.done:
		stop(running.err)
		return nil, running.err
	}
}
