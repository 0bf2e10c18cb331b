package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
	"github.com/yuccadrift/yuccadrift/platform"
)

// duties returns the duties of the process, which are goroutines that supervise.Run starts,
// restarts and stops.
func (n *Node) duties(path string, hangups <-chan os.Signal) []supervise.Duty {
	return []supervise.Duty{
		{Name: "front", Serve: n.serveFront, StopTimeout: n.settings.Bounds.ShutdownGrace},
		{Name: "published", Serve: n.published.Run},
		{Name: "published-by-peers", Serve: func(ctx context.Context) error { return n.published.RunPeerFetch(ctx, n.peers) }},
		{Name: "assignments", Serve: n.assignments.Run},
		{Name: "routes", Serve: n.routes.Run},
		{Name: "relay", Serve: n.relay.Run},
		{Name: "registry", Serve: n.registry.Run},
		{Name: "ownership", Serve: n.manager.Run},
		{Name: "speed", Serve: n.watchSpeed},
		{Name: "peers", Serve: n.servePeers, StopTimeout: n.settings.Bounds.ShutdownGrace},
		{Name: "admin", Serve: n.admin.Serve},
		{Name: "clients", Serve: n.watchClients},
		{Name: "reload", Serve: func(ctx context.Context) error { return n.checkSettingsOnHangup(ctx, path, hangups) }},
	}
}

func (n *Node) serveFront(ctx context.Context) error {
	defer n.cancelFrontCtx()
	return n.front.Run(ctx)
}

// servePeers serves other nodes until the last caller of this node has its response. If it
// stopped earlier, the outcome of records that others store through this node would be
// unknown, and all other nodes would call the store simultaneously.
func (n *Node) servePeers(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(n.frontCtx, stop)()
	err := nodepeer.Serve(serving, n.peerListener, peerHandler{n.owners, n.intake, n.published, n.peers}, func(from string) { n.peers.book.Add(from) })
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// notifyHangups catches SIGHUP for the whole life of the process. An uncaught SIGHUP, for
// example during the shutdown, would end the process immediately and cut off all requests in
// progress.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// checkSettingsOnHangup checks the settings file at each SIGHUP and logs the result. It applies
// nothing: the identity and the addresses of a process can't change while it runs, so settings
// take effect at the next start only.
func (n *Node) checkSettingsOnHangup(ctx context.Context, path string, hangups <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			if _, err := platform.LoadSettings(path); err != nil {
				n.logger.Error("settings can't be read, the last good ones stay in force", "error", err)
				continue
			}
			n.logger.Info("settings are valid, they take effect at the next start")
		}
	}
}
