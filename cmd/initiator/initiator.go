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
	// coreRounding rounds the cores up for the Go scheduler, since the platform grants fractions of a core. A remainder below a
	// hundredth of a core is dropped.
	coreRounding = 0.99
	// runtimeMemoryPercent is the percentage of the process's memory that the Go runtime may use before it collects garbage more
	// often; the rest is a margin, since the process is killed at the machine's limit.
	runtimeMemoryPercent = 70
	// responseWriteMargin is how long before the client's timeout a response must be decided, so that it can still be written.
	responseWriteMargin = 12 * time.Millisecond
	// poolIdleNumerator and poolIdleDenominator are the part of a target's idle timeout after which the initiator closes its
	// unused connections: the target would close them while attempts are on their way.
	poolIdleNumerator   = 4
	poolIdleDenominator = 5
)

// server serves clients on a listener until Shutdown, which returns once all requests have their responses or the context
// ends.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

// runOptions are what differs between a process that runs one initiator and one that follows the configuration store.
type runOptions struct {
	// shareAddresses allows a predecessor or successor in this process to listen at the same addresses.
	shareAddresses bool
	// onListening is called once all servers listen; may be nil.
	onListening func()
	// terminated is closed when the process is to end, also if a successor serves by then; nil: the context tells that.
	terminated <-chan struct{}
	// discoveryAddrs receives the new address whenever discovery moves; nil: it does not move.
	discoveryAddrs <-chan string
}

// initiator is one running initiator: servers for clients, the dispatcher, the registry of targets and the endpoint list.
type initiator struct {
	config *config.Config
	log    *slog.Logger

	clock        dispatcher.Clock
	registry     *upstream.Registry
	dispatcher   *dispatcher.Dispatcher
	watcher      *discovery.Watcher
	startTimes   *discovery.StartTimes // used by the watcher's goroutine alone
	hasEndpoints atomic.Bool           // an endpoint list was applied
	servers      map[string]server     // by the address that each listens at
}

// serve runs an initiator until the context ends, and then until its graceful shutdown is complete. The limits apply to the
// whole process: those of a version that then cannot be served stay in force.
func serve(ctx context.Context, cfg *config.Config, operator *config.OperatorFile, log *slog.Logger, options runOptions) error {
	applyLimits(cfg.Limits)
	in, err := newInitiator(cfg, operator, log)
	if err != nil {
		return err
	}
	return in.run(ctx, options)
}

// applyLimits keeps the Go runtime within what the machine grants the process.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(limits.Cores+coreRounding)))
	debug.SetMemoryLimit(int64(limits.MemoryMiB) << 20 * runtimeMemoryPercent / 100)
}

// newInitiator builds the parts of an initiator and starts none of them.
func newInitiator(cfg *config.Config, operator *config.OperatorFile, log *slog.Logger) (*initiator, error) {
	decider, err := scheduler.New(cfg.Scheduler, cfg.Seed)
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
	in.dispatcher = dispatcher.New(decider, in.registry, in.clock, dispatcher.Options{
		MaxOpenCalls:        cfg.MaxOpenCalls,
		ResponseWriteMargin: responseWriteMargin,
		Logger:              log,
	})
	in.startTimes = discovery.NewStartTimes(time.Now, func() time.Duration { return in.clock.At(time.Now()) })
	in.watcher = discovery.New(cfg.Discovery, cfg.KnownEndpoints, pollSpread(cfg), in.applyEndpoints, log)
	in.servers = in.newServers(operator)
	return in, nil
}

// newDialer returns the protocol towards targets: NVMe over TCP if the operator has set it up, and HTTP otherwise.
func newDialer(cfg *config.Config, operator *config.OperatorFile) upstream.Dialer {
	if operator.NVMe != nil {
		return nvme.NewHost(nvmeHostOptions(operator.NVMe))
	}
	return upstream.NewHTTPDialer(cfg.MaxBufferedBytes())
}

// pollSpread returns the time over which the fleet spreads its polls after a start or a failure; 0 if discovery serves this
// initiator alone.
func pollSpread(cfg *config.Config) time.Duration {
	if !cfg.SharedDiscovery() {
		return 0
	}
	return time.Duration(cfg.Scheduler.Initiators) * discovery.PollServiceTime
}

// newServers returns the clients' servers. With NVMe over TCP the HTTP server answers health checks alone, since all
// targets speak NVMe.
func (in *initiator) newServers(operator *config.OperatorFile) map[string]server {
	cfg := in.config
	servers := map[string]server{
		cfg.Listen: clienthttp.New(in.dispatcher, clienthttp.Options{
			Classes:        cfg.ClassNames(),
			Plans:          cfg.PlanNames(),
			MaxConns:       cfg.MaxClientConns(),
			EvictIdleAbove: cfg.EvictIdleAbove(),
			MaxDeadline:    cfg.MaxDeadline(),
			Ready:          in.hasEndpoints.Load,
			ReadinessOnly:  operator.NVMe != nil,
			Logger:         in.log,
		}),
	}
	if operator.NVMe != nil {
		servers[operator.NVMe.Listen] = nvme.New(in.dispatcher, nvmeServerOptions(cfg, operator.NVMe, in.log))
	}
	return servers
}

// run serves until the context ends or a server fails, and then until the graceful shutdown is complete. It owns the background
// goroutines: the graceful shutdown needs them, and they end when run returns.
func (in *initiator) run(ctx context.Context, options runOptions) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go in.dispatcher.Run(background)
	go in.watcher.Run(background)
	go in.followDiscovery(background, options.discoveryAddrs)

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

// followDiscovery moves the watcher to each new address of discovery, until the context ends.
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

// startServers starts a goroutine for each server, which ends with its Shutdown. Errors of the servers go to the channel
// returned.
func (in *initiator) startServers(listeners map[string]net.Listener) <-chan error {
	failed := make(chan error, len(in.servers))
	for addr, server := range in.servers {
		go func() { failed <- server.Serve(listeners[addr]) }()
		in.log.Info("serving", slog.String("name", in.config.Name), slog.String("listen", addr))
	}
	return failed
}
