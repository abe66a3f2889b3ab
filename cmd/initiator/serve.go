package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dapplegate/internal/config"
)

// Log lines about configurations, from the file and from the store alike.
const (
	eventConfigAccepted   = "configuration accepted"
	eventConfigRejected   = "configuration rejected"
	reasonConfigNotServed = "CONFIG_NOT_SERVED" // the file, the operator's file or an address of it cannot be used
)

// serveFlags are the flags of the serve command.
type serveFlags struct {
	operatorFile string
	agents       []string
	logLevel     slog.Level
}

func serveCommand() *cobra.Command {
	var flags serveFlags
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one initiator, as the environment and its configuration say",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runServe(flags) },
	}
	cmd.Flags().StringVar(&flags.operatorFile, "operator", "",
		"an operator's file (TOML), such as deploy/nvme.toml")
	cmd.Flags().TextVar(&flags.logLevel, "log-level", slog.LevelInfo,
		"the lowest level that is logged; debug logs the steps of each request")
	cmd.Flags().StringSliceVar(&flags.agents, "agents", nil,
		"take the configuration of PROXY_NAME from these agents, and follow its changes")
	return cmd
}

// runServe runs an initiator until SIGTERM or SIGINT, and then until its graceful shutdown is complete.
func runServe(flags serveFlags) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: flags.logLevel}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// SIGHUP is handled from the start on: by default it would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)

	if len(flags.agents) > 0 {
		go ignoreReloads(hangups, log)
		return follow(ctx, flags.agents, os.Getenv, flags.operatorFile, log)
	}
	cfg, operator, err := loadConfig(os.Getenv, flags.operatorFile)
	if err != nil {
		return err
	}
	discoveryAddrs := watchReloads(hangups, os.Getenv, cfg.Discovery, log)
	return serve(ctx, cfg, operator, log, runOptions{discoveryAddrs: discoveryAddrs})
}

// ignoreReloads logs signals to reload in a process that has no configuration file.
func ignoreReloads(hangups <-chan os.Signal, log *slog.Logger) {
	for range hangups {
		log.Info("nothing to reload", slog.String("reason", "NO_CONFIG_FILE"))
	}
}

// loadConfig reads the platform's configuration and the operator's file, if one is named.
func loadConfig(getenv func(string) string, operatorFile string) (*config.Config, *config.OperatorFile, error) {
	cfg, err := config.Load(getenv)
	if err != nil {
		return nil, nil, err
	}
	operator, err := readOperator(operatorFile, cfg)
	return cfg, operator, err
}

// readOperator reads the operator's file; an empty path stands for a file that sets up nothing.
func readOperator(path string, cfg *config.Config) (*config.OperatorFile, error) {
	if path == "" {
		return &config.OperatorFile{}, nil
	}
	return config.ReadOperatorFile(path, cfg)
}
