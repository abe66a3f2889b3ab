package main

import (
	"context"
	"log/slog"
	"sync"

	"dapplegate/internal/config"
	"dapplegate/internal/configstore"
)

// follow serves what the configuration store has for the initiator that PROXY_NAME names. A new version is checked, then
// served by a successor that listens at the same addresses; once that one is up, its predecessor shuts down gracefully, so
// that no accepted request is lost. A version that cannot be served changes nothing.
func follow(stop context.Context, agents []string, getenv func(string) string, operatorFile string, log *slog.Logger) error {
	name := getenv("PROXY_NAME")
	if name == "" {
		return config.Missing("PROXY_NAME")
	}
	watch, cancelWatch := context.WithCancel(stop)
	defer cancelWatch()
	entries := watchEntry(watch, &configstore.Client{Addrs: agents}, name, log)

	f := &follower{operatorFile: operatorFile, log: log}
	defer f.draining.Wait()
	for {
		select {
		case <-stop.Done():
			return f.wait()
		case <-f.currentDone():
			return f.current.err
		case entry := <-entries:
			f.update(stop, entry)
		}
	}
}

// watchEntry sends each new version of the named configuration, until the context ends.
func watchEntry(ctx context.Context, client *configstore.Client, name string, log *slog.Logger) <-chan configstore.Entry {
	entries := make(chan configstore.Entry)
	go client.Follow(ctx, name, log, func(entry configstore.Entry) {
		select {
		case entries <- entry:
		case <-ctx.Done():
		}
	})
	return entries
}

// follower runs the latest version of a configuration that can be served.
type follower struct {
	operatorFile string
	log          *slog.Logger
	current      *runningVersion // nil: no version has been served yet
	draining     sync.WaitGroup  // predecessors in their graceful shutdown
}

// update replaces the current version by the entry's, if that can be served.
func (f *follower) update(stop context.Context, entry configstore.Entry) {
	successor, err := startVersion(stop, entry, f.operatorFile, f.log)
	if err != nil {
		f.log.Error(eventConfigRejected, slog.String("reason", reasonBadConfig),
			slog.Uint64("version", entry.Version), slog.Any("error", err))
		return
	}
	f.log.Info(eventConfigAccepted, slog.Uint64("version", entry.Version))
	if predecessor := f.current; predecessor != nil {
		predecessor.stop(errSuperseded)
		f.draining.Go(func() { <-predecessor.done })
	}
	f.current = successor
}

// currentDone is closed when the current version has ended. Without one it is nil, which blocks.
func (f *follower) currentDone() <-chan struct{} {
	if f.current == nil {
		return nil
	}
	return f.current.done
}

// wait returns how the current version has ended, once it has.
func (f *follower) wait() error {
	if f.current == nil {
		return nil
	}
	<-f.current.done
	return f.current.err
}

// runningVersion is an initiator that runs with one version of its configuration.
type runningVersion struct {
	stop context.CancelCauseFunc
	done chan struct{} // closed when it has ended
	err  error         // how it ended; valid once done is closed
}

// startVersion starts an initiator with the entry's configuration, and returns when it listens or has failed to. It runs
// until stop ends or it is stopped itself.
func startVersion(stop context.Context, entry configstore.Entry, operatorFile string, log *slog.Logger) (*runningVersion, error) {
	cfg, err := parseStored(entry.Name, entry.Config)
	if err != nil {
		return nil, err
	}
	operator, err := readOperator(operatorFile, cfg)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(stop)
	version := &runningVersion{stop: cancel, done: make(chan struct{})}
	listening := make(chan struct{})
	options := runOptions{
		shareAddresses: true,
		onListening:    func() { close(listening) },
	}
	go func() {
		defer close(version.done)
		version.err = serve(ctx, cfg, operator, log, options)
	}()
	select {
	case <-listening:
		return version, nil
	case <-version.done:
		cancel(version.err)
		return nil, version.err
	}
}
