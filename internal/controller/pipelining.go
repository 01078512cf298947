package controller

import (
	"context"
	"net"
	"net/http"

	"magnoliahill.example/magnoliahill/internal/acceptor"
	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

const (
	pipelineMemoryDivisor = 16      // share of the process's memory for requests that callers send ahead
	maxPipelineMemory     = 8 << 20 // bytes; runs of some hundred requests
)

// newPipeliner returns what lets the requests that a caller sends ahead on a connection
// run side by side.
func (c *Controller) newPipeliner() *pipeliner.Pipeliner {
	memory := int64(c.settings.MemoryMB) << 20 / pipelineMemoryDivisor
	if memory <= 0 || memory > maxPipelineMemory {
		memory = maxPipelineMemory
	}
	memory = min(memory, int64(c.limits.ahead)*pipeliner.RunCost)
	return pipeliner.New(c.dispatcher, c.dispatcher, pipeliner.WithMemory(memory), pipeliner.WithScope(c.recorder.Scope()))
}

// acceptCallers prepares the server for callers' connections and returns the listener
// that it has to serve.
func (c *Controller) acceptCallers(server *http.Server, accepted *acceptor.Acceptor) net.Listener {
	c.callers = accepted
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return c.pipeliner.ConnContext(accepted.ConnContext(ctx, nc), nc)
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		c.pendingConns.track(nc, state)
		accepted.ConnState(nc, state)
	}
	c.dataListener = c.pipeliner.Listener(accepted)
	return c.dataListener
}
