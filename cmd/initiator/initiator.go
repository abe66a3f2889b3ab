package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"dapplegate/internal/clienthttp"
	"dapplegate/internal/config"
	"dapplegate/internal/discovery"
	"dapplegate/internal/dispatcher"
	"dapplegate/internal/nvme"
	"dapplegate/internal/upstream"
	"dapplegate/scheduler"
)

const (
	// coreRounding is added to the granted number of cores before the sum is truncated to GOMAXPROCS. The platform grants
	// fractions of a core; they are rounded up, except that a fraction below a hundredth of a core is dropped.
	coreRounding = 0.99
	// runtimeMemoryPercent is the Go runtime's soft memory limit, as a percentage of the memory granted to the process. Near
	// the limit the runtime collects garbage more often. The rest is a margin, because the process is killed when it reaches
	// the machine's limit.
	runtimeMemoryPercent = 70
	// responseWriteMargin is how long before the client's timeout the response must be determined, so that it can still be
	// written.
	responseWriteMargin = 12 * time.Millisecond
	// poolIdleNumerator / poolIdleDenominator is the fraction of a target's idle timeout after which the initiator closes an
	// unused connection. If the initiator kept it longer, the target could close it while an attempt is being sent.
	poolIdleNumerator   = 4
	poolIdleDenominator = 5
)

// server serves clients on a listener until Shutdown is called. Shutdown returns once all requests have their responses, or
// when its context is done.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

// runOptions holds what differs between a process that runs a single initiator and one that follows the configuration store.
type runOptions struct {
	// shareAddresses lets a predecessor or successor in this process listen on the same addresses.
	shareAddresses bool
	// onListening, unless nil, is called once all servers are listening.
	onListening func()
	// terminated is closed when the process is asked to terminate. An initiator that is already shutting down because a
	// successor has replaced it cannot learn that from its own context. Nil if the initiator has no successors.
	terminated <-chan struct{}
	// discoveryAddrs delivers the new address of discovery whenever it changes; nil if it never changes.
	discoveryAddrs <-chan string
}

// initiator holds the parts of one initiator: the servers for clients, the dispatcher, the registry of targets, and the
// watcher of the endpoint list.
type initiator struct {
	config *config.Config
	log    *slog.Logger

	clock        dispatcher.Clock
	registry     *upstream.Registry
	dispatcher   *dispatcher.Dispatcher
	watcher      *discovery.Watcher
	startTimes   *discovery.StartTimes // used only by the watcher's goroutine
	hasEndpoints atomic.Bool           // an endpoint list has been applied
	servers      map[string]server     // by listen address
}

// serve runs an initiator until ctx is done or a server fails, then shuts it down gracefully and returns. The resource
// limits apply to the whole process; they stay in force even if the initiator cannot be started.
func serve(ctx context.Context, cfg *config.Config, operator *config.OperatorFile, log *slog.Logger, options runOptions) error {
	applyLimits(cfg.Limits)
	in, err := newInitiator(cfg, operator, log)
	if err != nil {
		return err
	}
	return in.run(ctx, options)
}

// applyLimits keeps the Go runtime within the cores and memory that the machine grants the process.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(limits.Cores+coreRounding)))
	debug.SetMemoryLimit(int64(limits.MemoryMiB) << 20 * runtimeMemoryPercent / 100)
}

// newInitiator creates an initiator without starting any of its parts.
func newInitiator(cfg *config.Config, operator *config.OperatorFile, log *slog.Logger) (*initiator, error) {
	sched, err := scheduler.New(cfg.Scheduler, cfg.Seed)
	if err != nil {
		return nil, config.PrefixField("settings", err)
	}
	in := &initiator{config: cfg, log: log, clock: dispatcher.NewClock()}
	in.registry = upstream.NewRegistry(upstream.Options{
		Dialer:            newDialer(cfg, operator),
		DialTimeout:       cfg.DialTimeout,
		IdleTimeout:       cfg.ConnIdleTimeout * poolIdleNumerator / poolIdleDenominator,
		MaxConnsPerTarget: cfg.MaxConnsPerTarget(),
		MaxConns:          cfg.MaxTargetConns(),
		Logger:            log,
	}, func(result dispatcher.AttemptResult) { in.dispatcher.ReportResult(result) })
	in.dispatcher = dispatcher.New(sched, in.registry, in.clock, dispatcher.Options{
		MaxOpenCalls:        cfg.MaxOpenCalls,
		ResponseWriteMargin: responseWriteMargin,
		Logger:              log,
	})
	in.startTimes = discovery.NewStartTimes(time.Now, func() time.Duration { return in.clock.At(time.Now()) })
	in.watcher = discovery.New(cfg.Discovery, cfg.KnownEndpoints, pollSpread(cfg), in.applyEndpoints, log)
	in.servers = in.newServers(operator)
	return in, nil
}

// newDialer returns the dialer for targets: NVMe over TCP if the operator's file sets it up, HTTP otherwise.
func newDialer(cfg *config.Config, operator *config.OperatorFile) upstream.Dialer {
	if operator.NVMe != nil {
		return nvme.NewHost(nvmeHostOptions(operator.NVMe))
	}
	return upstream.NewHTTPDialer(cfg.MaxBufferedBytes())
}

// pollSpread returns the time over which all initiators together spread their polls of discovery after a start or a failure.
// It is 0 if discovery serves this initiator alone.
func pollSpread(cfg *config.Config) time.Duration {
	if !cfg.SharedDiscovery() {
		return 0
	}
	return time.Duration(cfg.Scheduler.Initiators) * discovery.PollServiceTime
}

// newServers returns the servers for clients, by listen address. With NVMe over TCP, all targets speak NVMe, so the HTTP
// server answers only readiness checks.
func (in *initiator) newServers(operator *config.OperatorFile) map[string]server {
	cfg := in.config
	servers := map[string]server{
		cfg.Listen: clienthttp.New(in.dispatcher, clienthttp.Options{
			Classes:         cfg.ClassNames(),
			Plans:           cfg.PlanNames(),
			MaxConns:        cfg.MaxClientConns(),
			EvictIdleAbove:  cfg.EvictIdleAbove(),
			MaxRequestBytes: cfg.MaxRequestBytes(),
			MaxDeadline:     cfg.MaxDeadline(),
			Ready:           in.hasEndpoints.Load,
			ReadinessOnly:   operator.NVMe != nil,
			Logger:          in.log,
		}),
	}
	if operator.NVMe != nil {
		servers[operator.NVMe.Listen] = nvme.New(in.dispatcher, nvmeServerOptions(cfg, operator.NVMe, in.log))
	}
	return servers
}

// run serves until ctx is done or a server fails, then shuts the servers down gracefully. The background goroutines keep
// running during the shutdown, which needs them, and are stopped when run returns.
func (in *initiator) run(ctx context.Context, options runOptions) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go in.dispatcher.Run(background)
	go in.watcher.Run(background)
	go in.followDiscovery(background, options.discoveryAddrs)
	go in.watchMemory(background)

	listeners, err := in.listen(ctx, options.shareAddresses)
	if err != nil {
		return err
	}
	failed := in.startServers(listeners)
	if options.onListening != nil {
		options.onListening()
	}
	select {
	case err := <-failed:
		return errors.Join(err, in.shutdown(reasonServerFailed, nil))
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), errSuperseded) {
			return in.shutdown(reasonSuperseded, options.terminated)
		}
		return in.shutdown(reasonSIGTERM, nil)
	}
}

// followDiscovery passes each new address of discovery to the watcher, until ctx is done.
func (in *initiator) followDiscovery(ctx context.Context, addrs <-chan string) {
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-addrs:
			in.watcher.SetAddress(addr)
		}
	}
}

// startServers runs each server in a goroutine, which ends after the server's Shutdown. The returned channel receives the
// error from each Serve.
func (in *initiator) startServers(listeners map[string]net.Listener) <-chan error {
	failed := make(chan error, len(in.servers))
	for addr, server := range in.servers {
		go func() { failed <- server.Serve(listeners[addr]) }()
		in.log.Info("serving", slog.String("name", in.config.Name), slog.String("listen", addr))
	}
	return failed
}
