package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dapplegate/internal/config"
	"dapplegate/internal/configstore"
)

func agentCommand() *cobra.Command {
	var operatorFile string
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Run one of the agents that keep the instances' configurations",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := config.ReadAgent(operatorFile)
			if err != nil {
				return err
			}
			stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer cancel()
			return runAgent(stop, settings, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	cmd.Flags().StringVar(&operatorFile, "operator", "deploy/agent.toml", "the operator's file (TOML) with the agents")
	return cmd
}

// runAgent runs a server of the configuration store until stop ends or the server fails.
func runAgent(stop context.Context, settings *config.Agent, log *slog.Logger) error {
	listener, err := net.Listen("tcp", settings.API())
	if err != nil {
		return fmt.Errorf("agent.peer.api: %w", err)
	}
	store, err := configstore.Start(configstore.Options{
		ID:       settings.ID,
		Dir:      settings.Dir,
		Peers:    storePeers(settings.Peers),
		Logger:   log,
		Validate: checkStored,
	})
	if err != nil {
		_ = listener.Close() // the error that led here says more
		return err
	}
	log.Info("agent up", slog.String("id", settings.ID), slog.String("listen", settings.API()))
	failed := make(chan error, 1)
	go func() { failed <- store.Serve(listener) }()
	select {
	case err := <-failed:
		_ = store.Shutdown() // as above
		return err
	case <-stop.Done():
		return store.Shutdown()
	}
}

// storePeers converts the peers of the operator's file to those of the configuration store.
func storePeers(peers []config.Peer) []configstore.Peer {
	out := make([]configstore.Peer, 0, len(peers))
	for _, peer := range peers {
		out = append(out, configstore.Peer(peer))
	}
	return out
}

// parseStored parses a configuration from the store. It must be complete, since the environment adds nothing to it, and be
// that of the named initiator.
func parseStored(name string, text []byte) (*config.Config, error) {
	emptyEnvironment := func(string) string { return "" }
	cfg, err := config.Parse(text, emptyEnvironment)
	if err != nil {
		return nil, err
	}
	if cfg.Name != name {
		return nil, &config.FieldError{Field: "name", Err: fmt.Errorf("the configuration is %q's, not %q's", cfg.Name, name)}
	}
	return cfg, nil
}

// checkStored returns an error if the named initiator could not start with the configuration.
func checkStored(name string, text []byte) error {
	_, err := parseStored(name, text)
	return err
}
