package controller

import (
	"net"
	"time"

	"github.com/uber-go/tally/v4"

	"magnoliahill.example/magnoliahill/internal/acceptor"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Shares of the process's sockets. Together they are less than 1: the store, gossip and the
// listeners need some as well.
const (
	callerShare    = 0.26
	outgoingShare  = 0.43 // to backend servers, and to hosts that requests are relayed to; idle ones are closed for others
	aheadShare     = 0.08 // requests sent ahead, whose connections are within outgoingShare
	controlShare   = 0.10 // other hosts
	lookupShare    = 0.06
	relayedShare   = 0.08 // requests that other hosts relay
	readinessShare = 0.01
	metricsShare   = 0.01
)

const (
	fileDescriptors    = 200       // of the process's descriptors; the others are for sockets
	defaultDescriptors = 4096      // if the settings name none
	minConns           = 4         // of each listener
	ownMemory          = 24 << 20  // bytes that the process takes without connections
	connMemory         = 160 << 10 // bytes that a caller's connection may take in all phases: goroutines, buffers, bytes not read

	headMemoryDivisor   = 16 // share of the process's memory for the heads of callers; other listeners have less, by their sockets
	uploadMemoryDivisor = 32 // the same for receive buffers of uploadBuffer bytes
)

const (
	callerBuffer       = 16 << 10         // bytes of a connection's receive buffer; the system may hold up to 1.5 times as much
	uploadBuffer       = 64 << 10         // the same for a long request body, which is not to wait for its window
	clientStallTimeout = 20 * time.Second // how long a client may take no byte of a response
	headTimeoutMargin  = time.Second      // beyond a configuration's limit: packets may be lost, and the host busy
)

// connLimits are the limits on connections that follow from the descriptors and the memory
// of the process.
type connLimits struct {
	sockets  int // of the process
	memory   int64
	outgoing int // connections to backend servers and to hosts that requests are relayed to
	ahead    int // requests started ahead
}

func newConnLimits(d *loader.Deployment) connLimits {
	descriptors := d.MaxDescriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	l := connLimits{sockets: max(descriptors-fileDescriptors, 0), memory: int64(d.MemoryMB) << 20}
	l.outgoing, l.ahead = l.conns(outgoingShare), l.conns(aheadShare)
	return l
}

// conns returns the number of connections that a share of the sockets allows.
func (l *connLimits) conns(share float64) int {
	return max(int(share*float64(l.sockets)), minConns)
}

// accept returns a listener whose connections have a share of the sockets, and that leaves
// room for them in the process's memory.
func (l *connLimits) accept(listener net.Listener, share float64, scope tally.Scope) *acceptor.Acceptor {
	most := l.conns(share)
	if l.memory > 0 {
		most = min(most, max(int((l.memory-ownMemory)/connMemory), minConns))
	}
	heads := int64(float64(l.memory) / headMemoryDivisor * share / callerShare)
	a := acceptor.New(listener, acceptor.WithMaxConns(most), acceptor.WithMaxHeadBytes(heads),
		acceptor.WithReadBuffer(callerBuffer), acceptor.WithBodyBuffer(uploadBuffer, int(l.memory/uploadMemoryDivisor/(2*uploadBuffer))),
		acceptor.WithStallTimeout(clientStallTimeout), acceptor.WithScope(scope))
	a.SetHeadLimits(headLimits(cataloger.CallerLimits{}))
	return a
}

// headLimits returns the limits on the heads of requests under a configuration. Without one,
// and without limits in it, the server's own limits hold.
func headLimits(limits cataloger.CallerLimits) acceptor.HeadLimits {
	heads := acceptor.HeadLimits{Bytes: maxHeaderBytes, Timeout: readHeaderTimeout}
	if bytes := limits.HeaderBytes(); bytes > 0 {
		heads.Bytes = min(bytes, heads.Bytes)
	}
	if timeout := limits.HeaderTimeout(); timeout > 0 {
		heads.Timeout = min(timeout+headTimeoutMargin, heads.Timeout)
	}
	return heads
}
