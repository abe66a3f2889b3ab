package main

import (
	"context"
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
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return runAgent(ctx, settings, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	cmd.Flags().StringVar(&operatorFile, "operator", "deploy/agent.toml", "the operator's file (TOML) with the agents")
	return cmd
}

// runAgent runs a server of the configuration store until the context ends or the server fails.
func runAgent(ctx context.Context, settings *config.Agent, log *slog.Logger) error {
	listener, err := net.Listen("tcp", settings.API())
	if err != nil {
		return settings.APIAddrError(err)
	}
	store, err := configstore.Start(configstore.Options{
		ID:       settings.ID,
		Dir:      settings.Dir,
		Peers:    storePeers(settings.Peers),
		Logger:   log,
		Validate: checkStored,
	})
	if err != nil {
		_ = listener.Close() // the error of Start is the one to report
		return err
	}
	log.Info("agent up", slog.String("id", settings.ID), slog.String("listen", settings.API()))
	failed := make(chan error, 1)
	go func() { failed <- store.Serve(listener) }()
	select {
	case err := <-failed:
		_ = store.Shutdown() // the error of Serve is the one to report
		return err
	case <-ctx.Done():
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
