package main

import (
	"context"
	"errors"
	"fmt"
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
	// coreRounding makes part of a core, from a hundredth on, count as a core for the Go scheduler.
	coreRounding = 0.99
	// runtimeMemoryPercent is the part of the process's memory that the Go runtime may use before it collects garbage more
	// often; the rest is a margin against the machine's limit, which kills.
	runtimeMemoryPercent = 70
	// responseWriteMargin is how long before the client's timeout a response must be decided, so that it can still be written.
	responseWriteMargin = 12 * time.Millisecond
	// A graceful shutdown is given up shutdownMargin after the longest deadline, or after minShutdownTimeout if that is
	// longer.
	minShutdownTimeout = 3 * time.Second
	shutdownMargin     = 600 * time.Millisecond
)

// errSuperseded is the cause that stops an initiator whose successor has taken over its addresses. The process goes on, so
// open requests may take their full time; after SIGTERM they must have their responses before SIGKILL.
var errSuperseded = errors.New("a successor serves")

// server accepts clients' connections on a listener until Shutdown, which returns once all requests have their responses
// or the context ends.
type server interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
}

// runOptions are what differs between a process that runs one initiator and one that follows the configuration store.
type runOptions struct {
	// shareAddresses lets a predecessor or successor in this process listen at the same addresses.
	shareAddresses bool
	// onListening is called once all servers listen; nil: nobody is told.
	onListening func()
	// discoveryAddrs sends addresses that discovery has moved to; nil: it does not move.
	discoveryAddrs <-chan string
}

// initiator is one running initiator: clients' servers in front of a dispatcher, targets behind it, and the endpoint list.
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

// serve runs an initiator until stop ends, and then until its graceful shutdown is complete.
func serve(stop context.Context, cfg *config.Config, operator *config.Operator, log *slog.Logger, options runOptions) error {
	applyLimits(cfg.Limits)
	in, err := newInitiator(cfg, operator, log)
	if err != nil {
		return err
	}
	return in.run(stop, options)
}

// applyLimits keeps the Go runtime within what the machine grants the process.
func applyLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(limits.Cores+coreRounding)))
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * runtimeMemoryPercent / 100)
}

// newInitiator builds the parts of an initiator and starts none of them.
func newInitiator(cfg *config.Config, operator *config.Operator, log *slog.Logger) (*initiator, error) {
	decisions, err := scheduler.New(cfg.Scheduler, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	in := &initiator{config: cfg, log: log, clock: dispatcher.NewClock()}
	in.registry = upstream.NewRegistry(upstream.Options{
		Dialer:            newDialer(cfg, operator),
		DialTimeout:       cfg.DialTimeout,
		IdleTimeout:       cfg.ConnIdleTimeout * 4 / 5, // before the target closes the connection
		MaxConnsPerTarget: cfg.MaxConnsPerTarget(),
		MaxConns:          cfg.MaxTargetConns(),
		Logger:            log,
	}, func(result dispatcher.AttemptResult) { in.dispatcher.ReportResult(result) })
	in.dispatcher = dispatcher.New(decisions, in.registry, in.clock, dispatcher.Options{
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
func newDialer(cfg *config.Config, operator *config.Operator) upstream.Dialer {
	if operator.NVMe != nil {
		return nvme.NewHost(nvmeHostOptions(operator.NVMe))
	}
	return upstream.NewHTTPDialer(cfg.MaxBufferedBytes())
}

// pollSpread is the time over which a fleet spreads its polls after a start or a failure, where one discovery service serves
// all initiators in turn; 0: it need not.
func pollSpread(cfg *config.Config) time.Duration {
	if !cfg.Scheduler.PollEndpoints {
		return 0
	}
	return time.Duration(cfg.Scheduler.Initiators) * discovery.ExpectedPollTime
}

// newServers returns the clients' servers. With NVMe over TCP the HTTP server answers health checks alone, since all
// targets speak NVMe.
func (in *initiator) newServers(operator *config.Operator) map[string]server {
	cfg := in.config
	servers := map[string]server{
		cfg.Listen: clienthttp.New(in.dispatcher, clienthttp.Options{
			Classes:      cfg.ClassNames(),
			Plans:        cfg.PlanNames(),
			MaxConns:     cfg.MaxClientConns(),
			MaxIdleConns: cfg.MaxIdleClientConns(),
			MaxDeadline:  cfg.MaxDeadline(),
			Ready:        in.hasEndpoints.Load,
			HealthOnly:   operator.NVMe != nil,
			Logger:       in.log,
		}),
	}
	if operator.NVMe != nil {
		servers[operator.NVMe.Listen] = nvme.New(in.dispatcher, nvmeServerOptions(cfg, operator.NVMe, in.log))
	}
	return servers
}

// run serves until stop ends or a server fails. It owns the background goroutines: they go on during the graceful shutdown,
// which needs them, and end when it returns.
func (in *initiator) run(stop context.Context, options runOptions) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go in.dispatcher.Run(background)
	go in.watcher.Run(background)
	go in.followDiscovery(background, options.discoveryAddrs)

	listeners, err := in.listen(stop, options.shareAddresses)
	if err != nil {
		return err
	}
	failed := in.startServers(listeners)
	if options.onListening != nil {
		options.onListening()
	}
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
		return in.shutdown(context.Cause(stop))
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

// shutdown ends the servers gracefully: what was accepted gets its responses first.
func (in *initiator) shutdown(cause error) error {
	in.log.Info("shutting down", slog.String("reason", "STOPPED"), slog.Int("open", in.dispatcher.OpenCalls()))
	maxDeadline := in.config.MaxDeadline()
	if !errors.Is(cause, errSuperseded) {
		schedule := dispatcher.NewShutdownSchedule(maxDeadline)
		in.dispatcher.Shutdown(time.Now().Add(schedule.FinalAnswerBy))
	}
	timeout := max(maxDeadline, minShutdownTimeout) + shutdownMargin
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ended := make(chan error, len(in.servers))
	for _, server := range in.servers {
		go func() { ended <- server.Shutdown(ctx) }()
	}
	var err error
	for range in.servers {
		err = errors.Join(err, <-ended)
	}
	in.log.Info("shut down", slog.Int("open", in.dispatcher.OpenCalls()))
	return err
}
