package main

import (
	"context"
	"log/slog"
	"sync"

	"dapplegate/internal/config"
	"dapplegate/internal/configstore"
)

// follow runs the initiator that PROXY_NAME names with its configuration from the store, until the context ends. A new version
// is validated, then served by a successor that listens at the same addresses; once the successor listens, its predecessor
// shuts down gracefully, so that no accepted request is lost. After a version that cannot be served the predecessor goes on.
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
			return f.wait()
		case <-f.currentDone():
			return f.current.err
		case entry := <-entries:
			f.update(ctx, entry)
		}
	}
}

// watchEntry sends each new version of the named configuration, until the context ends.
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

// follower runs the latest version of a configuration that can be served.
type follower struct {
	operatorFile string
	log          *slog.Logger
	current      *runningVersion // nil: no version has been served yet
	shuttingDown sync.WaitGroup  // predecessors in their graceful shutdown
}

// update replaces the current version by the entry's, if that can be served.
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

// startVersion starts an initiator with the entry's configuration, and returns once it listens, or the error why it cannot. The
// initiator runs until the context ends or its stop is called.
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
	version := &runningVersion{stop: stop, done: make(chan struct{})}
	listening := make(chan struct{})
	options := runOptions{
		shareAddresses: true,
		terminated:     ctx.Done(),
		onListening:    func() { close(listening) },
	}
	go func() {
		defer close(version.done)
		version.err = serve(versionCtx, cfg, operator, log, options)
	}()
	select {
	case <-listening:
		return version, nil
	case <-version.done:
		stop(version.err)
		return nil, version.err
	}
}
